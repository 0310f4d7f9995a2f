#!/bin/sh
# Builds the stand-ins of the second review into review/build/2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/build/2
mkdir -p review/build/2
javac -nowarn -encoding UTF-8 -cp 'target/lib/*' -d review/build/2 review/standins-2/review2/*.java

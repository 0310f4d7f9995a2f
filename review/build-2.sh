#!/bin/sh
# Builds the stand-ins of the second review into review/standins-2/build, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/standins-2/build
mkdir -p review/standins-2/build
javac -nowarn -encoding UTF-8 -cp 'target/lib/*' -d review/standins-2/build review/standins-2/review2/*.java

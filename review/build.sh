#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file, whose libraries they use.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -nowarn -d build -cp "../target/lib/*" standin/*.java

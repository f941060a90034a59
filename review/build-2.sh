#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10. After the build of deploy/balancer.toml; needs the JDK alone, and no network.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf build
mkdir build
javac --release 17 -d build ./*.java

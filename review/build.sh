#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: plain Java, nothing but the JDK. Run after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/standins
mkdir -p target/standins
javac --release 17 -Xlint:all -d target/standins standins/*.java

#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target. Needs the JDK alone. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -Xlint:all -Werror -d review/target review/standins/*.java review/[1-9]/*.java

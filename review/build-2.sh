#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review. Needs a JDK and downloads nothing.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/standins-2/*.java

#!/bin/sh
# Compiles the stand-ins of the cases into target/review. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all,-serial -d target/review review/standins/*.java

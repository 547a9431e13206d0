#!/bin/bash
# Compiles the stand-ins that the scripts of this review start, into target/review-2. Needs the build of deploy/system.toml
# only for the programs that the scripts start; the stand-ins use nothing but the Java library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/review2/*.java

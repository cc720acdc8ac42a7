#!/usr/bin/env bash
# Compiles the stand-ins of the cases 11 to 15 into target/review-3. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
jdk=$(bin/find-jdk)
rm -rf target/review-3
mkdir -p target/review-3
"$jdk/bin/javac" --release 21 -d target/review-3 review/stand-ins-3/*.java

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 review/stand-ins-2/*.java
cp review/stand-ins-2/wire.properties target/review-2/

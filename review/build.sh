#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the scripted cases into review/target.
set -euo pipefail
cd "$(dirname "$0")/.."
home=$(bin/find-jdk)
mkdir -p review/target/classes
"$home/bin/javac" --release 21 -nowarn -d review/target/classes review/standins/*.java review/[1-5]/*.java
cp review/standins/wire.properties review/target/classes/

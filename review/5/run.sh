#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
home=$(bin/find-jdk) || exit 2
exec timeout -k 5 115 "$home/bin/java" -cp review/target/classes CrashingRequest "$PWD" "$PWD/review/5"

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
jdk=$(bin/find-jdk) || exit 2
exec "$jdk/bin/java" -Xmx400m -cp target/review-3 ResumedStreamCase review/15

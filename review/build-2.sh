#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the JDK alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/internal/launch
jdk=$(dirname "$(dirname "$(find_java)")")
rm -rf target/review-2
mkdir -p target/review-2
"$jdk/bin/javac" --release 25 -Xlint:all,-serial -d target/review-2 review/lab2/*.java

#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target/. Needs the JDK that builds the project, and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/internal/launch
jdk=$(dirname "$(dirname "$(find_java)")")
rm -rf review/target
mkdir -p review/target
"$jdk/bin/javac" -Xlint:all -d review/target review/standins/*.java

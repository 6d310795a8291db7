#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java

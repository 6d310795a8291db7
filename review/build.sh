#!/usr/bin/env bash
# Builds the stand-ins of the scripts; the daemon is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/standins
mkdir -p target/standins
javac --release 17 -d target/standins standins/*.java

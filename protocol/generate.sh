#!/usr/bin/env bash
# Regenerates the committed protobuf classes with the protoc artifact of the registry.
set -euo pipefail
cd "$(dirname "$0")"
mvn -B -ntp -q dependency:copy -Dartifact=com.google.protobuf:protoc:4.33.6:exe:linux-x86_64 \
  -DoutputDirectory=target/protoc
chmod +x target/protoc/protoc-4.33.6-linux-x86_64.exe
rm -rf src/generated/java
mkdir -p src/generated/java
target/protoc/protoc-4.33.6-linux-x86_64.exe --java_out=src/generated/java -Isrc/main/proto src/main/proto/peer.proto

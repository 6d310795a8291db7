#!/usr/bin/env bash
# Regenerates the committed protobuf classes with the newest protoc artifact that exists for both kinds of machine.
set -euo pipefail
cd "$(dirname "$0")"
version=4.33.5
case "$(uname -m)" in
  x86_64) platform=linux-x86_64 ;;
  aarch64) platform=linux-aarch_64 ;;
  *)
    echo "generate.sh: no protoc artifact is known for $(uname -m); expected x86_64 or aarch64" >&2
    exit 2
    ;;
esac
protoc="target/protoc/protoc-$version-$platform.exe"
mvn -B -ntp -q dependency:copy "-Dartifact=com.google.protobuf:protoc:$version:exe:$platform" \
  -DoutputDirectory=target/protoc
chmod +x "$protoc"
rm -rf src/generated/java
mkdir -p src/generated/java
"$protoc" --java_out=src/generated/java -Isrc/main/proto src/main/proto/peer.proto

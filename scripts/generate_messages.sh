#!/usr/bin/env bash
# Generates the C++ code of the messages between daemons (needs protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=packages/peers/proto --cpp_out=packages/peers/generated messages.proto mesh.proto

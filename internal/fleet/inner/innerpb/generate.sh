#!/usr/bin/env bash
# Regenerates the code of this folder from inner.proto; needs protoc on the PATH.
set -euo pipefail
cd "$(dirname "$0")"
root=$(git rev-parse --show-toplevel)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd "$root/tools" && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go)
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative,package_suffix="" inner.proto

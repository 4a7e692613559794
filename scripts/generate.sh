#!/usr/bin/env sh
# Generates the committed protocol code from the .proto files.
set -eu
cd "$(dirname "$0")/.."

# 64-bit integers are typed as numbers: revisions and the lease ids chosen here stay below 2^53.
generate() {
  npx --no-install pbjs -t static-module -w commonjs --force-number --no-verify --no-service \
    --no-delimited --root "$3" -o "$2.js" "$1"
  npx --no-install pbts -o "$2.d.ts" "$2.js"
}

generate src/store/etcd.proto src/store/generated/etcd etcd

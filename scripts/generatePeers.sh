#!/bin/sh
# Generates the code of src/peers/peers.proto; the output is committed.
set -eu
cd "$(dirname "$0")/.."
out=src/peers/generated
npx pbjs -t static-module -w commonjs --force-number --no-service --no-delimited --no-typeurl \
  --no-verify --no-convert -o "$out/peers.js" src/peers/peers.proto
npx pbts -o "$out/peers.d.ts" "$out/peers.js"

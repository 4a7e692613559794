#!/usr/bin/env bash
# Builds the scripts of the cases with all their stand-ins, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/[1-5]/case.ts; do
  number=$(basename "$(dirname "$source")")
  npx esbuild "$source" --bundle --platform=node --format=cjs --target=node20 \
    --main-fields=module,main --log-level=warning --outfile="target/review/$number.cjs"
done

#!/bin/sh
# Bundles the scripts of cases 6 to 9 with the stand-ins that they use.
set -eu
cd "$(dirname "$0")/.."
for main in review/*/main.ts; do
  number=$(basename "$(dirname "$main")")
  [ "$number" -ge 6 ] || continue
  npx esbuild "$main" --bundle --platform=node --format=cjs --target=node20 \
    --main-fields=module,main --log-level=warning --outfile="target/review-2/$number.cjs"
done

#!/usr/bin/env bash
# Bundles the cases of the third review, with the stand-ins that they start, into target/review-3/.
# Run it in the repository, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/1[1-5]; do
  for entry in "$folder"/*.ts; do
    [ -e "$entry" ] || continue
    npx --no-install esbuild "$entry" --bundle --platform=node --format=cjs --target=node20 \
      --main-fields=module,main --log-level=warning \
      --outfile="target/review-3/$(basename "$folder").cjs"
  done
done

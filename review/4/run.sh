#!/usr/bin/env bash
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/dispatcher.cjs ] && [ -f target/review/4.cjs ] || exit 2
exec node target/review/4.cjs review/4

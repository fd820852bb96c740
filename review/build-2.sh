#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs only rustc and its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/stand-ins-2/*.rs; do
    name=$(basename "$case" .rs)
    [[ $name == common ]] && continue
    rustc --edition 2021 -O -A dead_code -o "target/review-2/$name" "$case"
done

#!/bin/sh
# Builds the programs of the cases in review/6 to review/10: stand-ins for clients, engines and the platform's store, and
# what each case does with them. Only the standard library is needed. Run from anywhere.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case-2.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -A warnings -o "target/review-2/case-$number" "$source"
done

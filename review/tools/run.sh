#!/bin/sh
# Runs one case: review/tools/run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd)
ROOT=$(cd "$folder/../.." && pwd)
number=$(basename "$folder")
SCRATCH=$(mktemp -d) || exit 2
export ROOT SCRATCH
trap 'rm -rf "$SCRATCH"' EXIT
if [ ! -x "$ROOT/target/release/fescuetided" ] || [ ! -x "$ROOT/target/review/case-$number" ]; then
    echo "build first: the build of the deploy file, then review/build.sh" >&2
    exit 2
fi
"$ROOT/target/review/case-$number" "$folder"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$SCRATCH"/*.log "$KEEP_LOGS" 2>/dev/null
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac

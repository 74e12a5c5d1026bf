#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/fescuetided ] && [ -x target/review-2/case-8 ] || { echo "not built"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/case-8 "$here"

#!/usr/bin/env bash
# Plays the case 'pause'. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needed before: the build of the deploy file, and review/build-3.sh. TROUBLE=0 leaves the disruption out.
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in target/release/fescuetided target/review-3/cases; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
timeout -k 3 112 target/review-3/cases pause "$here"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac

#!/bin/sh
exec sh "$(dirname "$0")/../tools/run.sh" "$(dirname "$0")"

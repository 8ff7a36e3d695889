#!/usr/bin/env bash
# Plays the case with the daemons of the deploy file. Exit code: 1 broken, 0 kept, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/snowspoked ] && [ -x target/review-2/standins-2 ] || exit 2
exec target/review-2/standins-2 silent review/7

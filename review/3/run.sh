#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/target/review-standins" ] && [ -x "$root/target/snowspoked" ] || exit 2
exec "$root/target/review-standins" -case leaving -dir "$here" -root "$root"

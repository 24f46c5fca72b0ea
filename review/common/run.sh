#!/bin/sh
# Plays the case whose folder is given: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
program=build/review/case$(basename "$folder")
[ -x "$program" ] && [ -x build/fennellane ] || { echo "build first: deploy/balancer.toml, then review/build.sh"; exit 2; }
"$program" "$folder"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"

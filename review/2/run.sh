#!/bin/sh
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. With TROUBLE=0 the same without
# the disruption. What was sent, answered and run is written to record.txt beside this script.
PATH=${PATH:-/usr/local/bin:/usr/bin:/bin}
export PATH
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$folder/record.txt
: > "$record" || exit 2
cd "$folder/../.." || exit 2
program=build/review/case$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x build/fennellane ]; then
  echo "build first: deploy/balancer.toml, then review/build.sh" | tee "$record"
  exit 2
fi
"$program" "$record"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"

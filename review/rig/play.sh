#!/usr/bin/env bash
# Plays one case: play.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
number="$1"
program="target/review/case$number"
if [ ! -x "$program" ] || [ ! -x target/packages/savorygladed ]; then
  echo "Run the build of the deploy file and review/build.sh first." >&2
  exit 2
fi
# With job control the program and the daemons that it starts have a process group of their own.
set -m
timeout -k 1 115 "$program" "review/$number/record.txt" &
group=$!
end_all() { kill -KILL -- "-$group" 2>/dev/null; }
trap 'end_all; exit 2' INT TERM
wait "$group"
status=$?
end_all
[ "$status" -le 2 ] || status=2
exit "$status"

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
driver="$root/target/review-2/case-$(basename "$here")"
program="$root/target/release/caperhollow"
[ -x "$driver" ] && [ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
dir="$(mktemp -d)" || exit 2
cd "$root" || exit 2
"$driver" "$program" "$dir" "$here/record.txt" &
pid=$!
trap 'kill -KILL $pid 2>/dev/null' INT TERM
wait $pid
result=$?
# The driver ends the processes that it has started, and removes the list of them. If it was killed,
# they are ended here, by their ids.
if [ -f "$dir/pids" ]; then
    while read -r child; do
        kill -KILL "$child" 2>/dev/null
    done < "$dir/pids"
fi
rm -rf "$dir"
exit $result

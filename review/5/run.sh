#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
case="$(basename "$here")"
driver="$root/target/review-2/case-$case"
program="$root/target/release/caperhollow"
[ -x "$driver" ] && [ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
dir="$(mktemp -d)" || exit 2
trap 'rm -rf "$dir"' EXIT
cd "$root" || exit 2
"$driver" "$program" "$dir" "$here/record.txt"

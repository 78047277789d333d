#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$root/target/release/cometspool" ] || exit 2
temporary=$(mktemp -d) || exit 2
# A process group of its own: the program and all that it starts.
set -m
"$program" "$root" "$folder" "$temporary" &
group=$!
end() {
    kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$temporary"
}
trap 'end; exit 2' TERM INT HUP
wait "$group"
code=$?
end
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

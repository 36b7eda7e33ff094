#!/usr/bin/env bash
# Runs the script of a case: run-case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=target/review/case$1
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
[ -x target/release/kingcup-platform ] || { echo "run the build of the deploy file first"; exit 2; }
folder=$(mktemp -d) || exit 2
touch "$folder/pids"
timeout -k 5 112 "$program" "$PWD" "$folder" "review/$1/record.txt"
code=$?
# Only what the program could not end itself because it was ended from outside.
if [ "$code" -gt 2 ]; then
    while read -r pid; do
        if tr '\0' '\n' < "/proc/$pid/environ" 2>/dev/null | grep -qF "$folder"; then
            kill -KILL "$pid"
        fi
    done < "$folder/pids"
fi
rm -rf "$folder"
[ "$code" -le 1 ] || exit 2
exit "$code"

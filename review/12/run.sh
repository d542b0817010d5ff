#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out. Writes
# record.txt in this folder: what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/12/record.txt
program=target/review-3/case-12
[ -x "$program" ] && [ -x target/bin/platform/jackdawd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 118 "$program" "$folder"
code=$?
[ -s review/12/record.txt ] || exit 2
[ "$code" -le 1 ] || exit 2
exit "$code"

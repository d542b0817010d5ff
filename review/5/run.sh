#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Writes record.txt in this folder.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "can't run: python3 is missing"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec python3 -B case.py record.txt

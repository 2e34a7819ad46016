#!/usr/bin/env bash
# Runs the case; with TROUBLE=0, without the disruption. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec timeout 120 python3 case.py

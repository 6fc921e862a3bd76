#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it can't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common
exec python3 case.py

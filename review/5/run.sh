#!/bin/sh
# Runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" && exec python3 -B case.py

#!/bin/sh
# Exits with 1 if the rule broke, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the late answers.
cd "$(dirname "$0")" && exec python3 case.py

#!/usr/bin/env bash
# TROUBLE=0 runs the case without the disruption.
exec timeout 120 python3 "$(dirname "$0")/case.py"

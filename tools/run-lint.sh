#!/usr/bin/env bash
# Runs clang-tidy over every C++ source of the project with the build's flags.
exec python3 -B tools/run-lint.py "$1"

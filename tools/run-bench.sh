#!/usr/bin/env bash
# Runs the benchmarks: added latency, policy bench and capacity slopes.
set -eu
build=$1
for program in latency_bench capacity_bench; do
    [ -x "$build/$program" ] && "$build/$program"
done
exit 0

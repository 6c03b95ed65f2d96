#!/usr/bin/env bash
# Runs the benchmarks: added latency, capacity slopes, lease takeover and
# revision propagation times, and the product's policy on both deployments.
set -eu
build=$1
"$build/latency_bench"
"$build/capacity_bench"
"$build/authority_bench"
for deployment in kerbrat bellhaven; do
    "$build/policy_bench" --deployment "$deployment" --policy product \
        --seed 1 --format json
done

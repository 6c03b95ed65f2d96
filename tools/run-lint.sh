#!/usr/bin/env bash
# Runs clang-tidy over every C++ source of the project with the build's flags.
set -eu
build=$1
mkdir -p "$build/lint"
# A file is checked again only if the sources differ from the last clean run.
stamp=$(cat .clang-tidy src/*.hpp harness/*.hpp 2>/dev/null | sha256sum | cut -c1-16)
check() {
    key=$(cat "$1" | sha256sum | cut -c1-16)
    mark="$build/lint/$(echo "$1" | tr / _).$2.$key"
    [ -e "$mark" ] && return 0
    clang-tidy --quiet -p "$build" "$1" 2>/dev/null || return 1
    touch "$mark"
}
export -f check
export build
ls src/*.cpp harness/*.cpp tools/*.cpp tutorial/*.cpp test/*/*.cpp 2>/dev/null |
    xargs -P 8 -I{} bash -c "check {} $stamp"

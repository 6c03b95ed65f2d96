#!/usr/bin/env python3
"""Runs clang-tidy over the project's sources with the flags of a build folder.

A source is checked again only when it, a project header that it includes, or
.clang-tidy has changed since its last clean run.
"""

import concurrent.futures
import glob
import hashlib
import os
import re
import subprocess
import sys

FOLDERS = ("src", "platform", "harness", "tools", "tutorial", "test/*")
INCLUDE = re.compile(rb'^#include "([^"]+)"', re.MULTILINE)
JOBS = os.cpu_count() if os.environ.get("CI") else 4


def read(path):
    with open(path, "rb") as file:
        return file.read()


def find_header(name, including):
    for folder in (os.path.dirname(including), "src", "platform", "harness"):
        path = os.path.join(folder, name)
        if os.path.exists(path):
            return path
    return None


def content_key(source):
    """Hash of a source, the project headers it includes and .clang-tidy."""
    seen, pending = set(), [source]
    while pending:
        path = pending.pop()
        if path in seen:
            continue
        seen.add(path)
        for name in INCLUDE.findall(read(path)):
            header = find_header(name.decode(), path)
            if header is not None:
                pending.append(os.path.normpath(header))
    digest = hashlib.sha256(read(".clang-tidy"))
    for path in sorted(seen):
        digest.update(path.encode() + b"\0" + read(path))
    return digest.hexdigest()[:24]


def clean_runs_folder():
    """Folder with a file per clean run, shared by the worktrees of a clone."""
    common = subprocess.run(["git", "rev-parse", "--git-common-dir"],
                            stdout=subprocess.PIPE, check=True)
    return os.path.join(common.stdout.decode().strip(), "lint-marks")


def check(build, source):
    clean_run_file = os.path.join(clean_runs_folder(), content_key(source))
    if os.path.exists(clean_run_file):
        return True
    run = subprocess.run(["clang-tidy", "--quiet", "-p", build, source],
                         stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    sys.stdout.write(run.stdout.decode())
    if run.returncode == 0:
        open(clean_run_file, "w").close()
    return run.returncode == 0


def main():
    build = sys.argv[1]
    os.makedirs(clean_runs_folder(), exist_ok=True)
    sources = sorted(path for folder in FOLDERS
                     for path in glob.glob(folder + "/*.cpp"))
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        clean = list(pool.map(lambda source: check(build, source), sources))
    print("lint: %d sources, %d clean" % (len(clean), sum(clean)))
    return 0 if all(clean) else 1


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Prints the life of one request from the log files of all daemons.

usage: request-life.py ATTEMPT_ID LOGFILE...
"""

import json
import sys


def lines_of(attempt, files):
    """Yields the log lines on a request; other output in a file is skipped."""
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            for line in file:
                begin = line.find('{"')
                if begin < 0 or attempt not in line:
                    continue
                try:
                    entry = json.loads(line[begin:])
                except ValueError:
                    continue
                if entry.get("request") == attempt:
                    yield entry


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__.strip())
    found = sorted(lines_of(sys.argv[1], sys.argv[2:]),
                   key=lambda entry: (entry["daemon"], float(entry["age_ms"])))
    for entry in found:
        known = ("time", "daemon", "level", "event", "request", "age_ms")
        rest = " ".join(f"{key}={value}" for key, value in entry.items()
                        if key not in known)
        print(f'{entry["age_ms"]:>9} ms  {entry["daemon"]}  '
              f'{entry["event"]}  {rest}')
    sys.exit(0 if found else 1)


if __name__ == "__main__":
    main()

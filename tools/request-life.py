#!/usr/bin/env python3
"""Prints the log lines of one request, by daemon and age, from all log files.

usage: request-life.py ATTEMPT_ID LOGFILE...
"""

import json
import sys


def log_entries(attempt, files):
    """Yields the log entries of a request; skips lines that are not JSON."""
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            for line in file:
                start = line.find('{"')
                if start < 0 or attempt not in line:
                    continue
                try:
                    entry = json.loads(line[start:])
                except ValueError:
                    continue
                if entry.get("request") == attempt:
                    yield entry


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__.strip())
    entries = sorted(log_entries(sys.argv[1], sys.argv[2:]),
                   key=lambda entry: (entry["daemon"], float(entry["age_ms"])))
    for entry in entries:
        standard_keys = ("time", "daemon", "level", "event", "request",
                         "age_ms")
        rest = " ".join(f"{key}={value}" for key, value in entry.items()
                        if key not in standard_keys)
        print(f'{entry["age_ms"]:>9} ms  {entry["daemon"]}  '
              f'{entry["event"]}  {rest}')
    sys.exit(0 if entries else 1)


if __name__ == "__main__":
    main()

"""Guards against bodies in small pieces that take many times the memory of their
payload: 90 clients stop before the end of their bodies and stay."""

import os
import sys

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from crowd_support import Relay, unfinished_body  # noqa: E402

CLIENTS = 90


def main():
    for chunk_bytes, payload_bytes, path in (
            (1, 30_000, "/book/1"), (7, 120_000, "/ask/1"),
            (1000, 500_000, "/book/1")):
        with Relay() as relay:
            relay.crowd(CLIENTS, unfinished_body(chunk_bytes, payload_bytes,
                                                 path))
            relay.check_service()


main()

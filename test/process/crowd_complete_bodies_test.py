"""Guards against complete large requests that wait for an endpoint and take more
memory together than the host has."""

import os
import sys

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from crowd_support import Relay, request  # noqa: E402

CLIENTS = 60
BODY_BYTES = 4 << 20


def main():
    with Relay() as relay:
        # One after another, so that each body arrives whole.
        for _ in range(CLIENTS):
            relay.crowd(1, request("/book/slow", "Content-Length: %d\r\n\r\n"
                                   % BODY_BYTES) + b"x" * BODY_BYTES, wait_s=0)
        relay.check_service()


main()

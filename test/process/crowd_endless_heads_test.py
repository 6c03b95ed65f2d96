"""Guards against heads and trailers that do not end, at all listeners, and against
the largest request within the limits being refused."""

import os
import sys

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from crowd_support import Relay, request, unfinished_body  # noqa: E402

CLIENTS = 300
HEADER_LINES = b"X-Header: y\r\n" * 20_000  # 260 KB
MAX_BODY_BYTES = 4 << 20


def main():
    with Relay() as relay:
        for address in (relay.front, relay.readiness, relay.metrics):
            relay.crowd(CLIENTS, request() + HEADER_LINES, address)
            relay.check_service()
        relay.crowd(CLIENTS, unfinished_body(1, 1) + b"0\r\n" + HEADER_LINES)
        relay.crowd(CLIENTS, unfinished_body(1, 1) + b"1;" + b"x" * 200_000)
        relay.check_service()
        relay.crowd(CLIENTS, unfinished_body(1, 1) + b"1;\r\nx\r\n" * 20_000)
        relay.check_service(b"x" * MAX_BODY_BYTES)
        assert relay.ready()
        assert relay.get(relay.metrics, "/metrics")[0] == 200


main()

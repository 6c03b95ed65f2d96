"""Guards against clients that do not read their answers: pipelined requests, and
long answers that wait for their readers."""

import os
import sys

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from crowd_support import Relay, request  # noqa: E402

CLIENTS = 60
RECEIVE_BUFFER = 4096


def main():
    with Relay() as relay:
        empty = "Content-Length: 0\r\n\r\n"
        relay.crowd(CLIENTS, request("/book/1", empty) * 50,
                    receive_buffer=RECEIVE_BUFFER)
        relay.check_service()
        relay.crowd(CLIENTS, request("/none", empty) * 2000,
                    receive_buffer=RECEIVE_BUFFER)
        relay.check_service()
        relay.crowd(CLIENTS, request("/book/long", empty),
                    receive_buffer=RECEIVE_BUFFER)
        relay.check_service()


main()

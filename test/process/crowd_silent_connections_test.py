"""Guards against silent connections that keep ordinary clients from being served,
at the listeners of clients, readiness and metrics."""

import os
import sys

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from crowd_support import MAX_DESCRIPTORS, Relay  # noqa: E402

# More than the listener takes at the same time.
CLIENTS = MAX_DESCRIPTORS // 2 + 50


def main():
    with Relay() as relay:
        for address in (relay.front, relay.readiness, relay.metrics):
            for _ in range(CLIENTS):
                relay.connect(address)
            relay.check_service()
            assert relay.ready()
            assert relay.get(relay.metrics, "/metrics")[0] == 200


main()

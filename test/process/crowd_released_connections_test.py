"""Guards against connections that stay allocated after their clients closed
them, so that the daemon takes no new ones after some thousand in all."""

import time
import os
import sys

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from crowd_support import MAX_DESCRIPTORS, Relay  # noqa: E402

# More than the daemon takes at the same time.
CONNECTIONS = MAX_DESCRIPTORS
# Descriptors of a daemon without clients, with its calls to store and engine.
IDLE_DESCRIPTORS = 60


def main():
    with Relay() as relay:
        for place in range(CONNECTIONS):
            if place % 2:
                relay.ask(b"ordinary")
            else:
                relay.connect().close()  # Leaves before its request.
        relay.check_service()
        for _ in range(100):
            if relay.descriptors() <= IDLE_DESCRIPTORS:
                break
            time.sleep(0.2)
        assert relay.descriptors() <= IDLE_DESCRIPTORS, relay.descriptors()
        assert relay.ready()


main()

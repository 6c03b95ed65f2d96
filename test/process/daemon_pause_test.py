"""Guards against duplicate bookings by a daemon that is paused until its lease
has expired and then continues. Both daemons must serve requests afterwards."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from process_support import Deployment  # noqa: E402

BOOKINGS = 20
# Longer than the lease time of 3 s plus its margin.
PAUSE_SECONDS = 5


def main():
    with Deployment(sys.argv[1]) as deployment:
        for index in range(2):
            deployment.wait_until_serving(index)
        outcomes = {}

        def book(i):
            key = "pause-%d" % i
            time.sleep(i * 0.02)
            first = deployment.book(0, key, timeout=2)[0]
            second = deployment.book(1, key)[0]
            outcomes[key] = (first, second)

        threads = [threading.Thread(target=book, args=(i,))
                   for i in range(BOOKINGS)]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        deployment.daemons[0].send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_SECONDS)
        deployment.daemons[0].send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join(60)
        time.sleep(1)
        effects = deployment.effects()
        duplicates = {key: n for key, n in effects.items() if n > 1}
        assert not duplicates, (duplicates, outcomes)
        for key, statuses in outcomes.items():
            if 201 in statuses:
                assert effects.get(key) == 1, (key, statuses)
        for index in range(2):
            deployment.wait_until_serving(index)


main()

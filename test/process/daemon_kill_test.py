"""Guards against duplicate bookings and truncated answers when a daemon is
killed: callers repeat their bookings with the same idempotency key and resume
their streams at another daemon."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from process_support import Deployment, standin_answer  # noqa: E402

STREAMS = 20
BOOKINGS = 40
TOKENS = 100


def main():
    with Deployment(sys.argv[1]) as deployment:
        for index in range(2):
            deployment.wait_until_serving(index)
        answers = [None] * STREAMS
        outcomes = {}

        def stream(i):
            answers[i] = deployment.complete_with_resume(0, 1, 2000 + i,
                                                         TOKENS)

        def book(i):
            key = "kill-%d" % i
            time.sleep(i * 0.03)
            status, body = deployment.book(0, key)
            if status != 201:
                status, body = deployment.book(1, key)
            outcomes[key] = status

        threads = [threading.Thread(target=stream, args=(i,))
                   for i in range(STREAMS)]
        threads += [threading.Thread(target=book, args=(i,))
                    for i in range(BOOKINGS)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        deployment.daemons[0].kill()
        for thread in threads:
            thread.join(60)
        effects = deployment.effects()
        duplicates = {key: n for key, n in effects.items() if n > 1}
        assert not duplicates, duplicates
        for key, status in outcomes.items():
            if status == 201:
                assert effects.get(key) == 1, (key, effects.get(key))
        booked = sum(1 for status in outcomes.values() if status == 201)
        assert booked >= BOOKINGS / 2, outcomes
        for i, answer in enumerate(answers):
            assert answer == standin_answer(2000 + i, TOKENS), (i, answer)


main()

"""Guards against a planned stop that truncates an answer: after SIGTERM under
load, every accepted stream must end with its complete answer, at this daemon
or resumed at another one, and the daemon must exit with 0."""

import os
import signal
import sys
import threading

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from process_support import Deployment, standin_answer  # noqa: E402

STREAMS = 30
TOKENS = 120


def main():
    with Deployment(sys.argv[1]) as deployment:
        for index in range(2):
            deployment.wait_until_serving(index)
        answers = [None] * STREAMS

        def run(i):
            answers[i] = deployment.complete_with_resume(0, 1, 1000 + i,
                                                         TOKENS)

        threads = [threading.Thread(target=run, args=(i,))
                   for i in range(STREAMS)]
        for thread in threads:
            thread.start()
        threads[0].join(0.4)
        deployment.daemons[0].send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join(60)
        code = deployment.daemons[0].wait(30)
        assert code == 0, "exit code %s" % code
        for i, answer in enumerate(answers):
            assert answer == standin_answer(1000 + i, TOKENS), (i, answer)


main()

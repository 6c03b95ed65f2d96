"""Guards against three failures: a change that one daemon accepts is not
active on the others within 10 s; an undo cannot read the earlier revision; of
two concurrent changes, more are reported as accepted than take effect."""

import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from process_support import Deployment, OPERATOR_TOKEN  # noqa: E402

PROPAGATION_SECONDS = 10


def ctl(deployment, index, statement):
    address = "127.0.0.1:%d" % deployment.daemon_ports[index][1]
    return subprocess.run(
        [os.path.join(deployment.build, "agateledge"), "ctl", "--address",
         address, statement],
        env=dict(os.environ, AGATELEDGE_TOKEN=OPERATOR_TOKEN),
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, timeout=60)


def revision(deployment, index):
    answer = json.loads(ctl(deployment, index, "show revisions").stdout)
    return max(row[0] for row in answer["rows"])


def wait_for_state(deployment, index, engine, state):
    end = time.monotonic() + PROPAGATION_SECONDS
    while time.monotonic() < end:
        answer = json.loads(ctl(deployment, index, "show engines").stdout)
        name_column = answer["columns"].index("name")
        state_column = answer["columns"].index("state")
        if any(row[name_column] == engine and row[state_column] == state
               for row in answer["rows"]):
            return
        time.sleep(0.2)
    raise AssertionError("%s is not %s at daemon %d" % (engine, state, index))


def wait_for_revision(deployment, index, expected):
    end = time.monotonic() + PROPAGATION_SECONDS
    actual = 0
    while actual != expected:
        assert time.monotonic() < end, (index, actual, expected)
        actual = revision(deployment, index)
        assert actual <= expected, (index, actual, expected)
        time.sleep(0.1)


def main():
    with Deployment(sys.argv[1]) as deployment:
        for index in range(2):
            deployment.wait_until_serving(index)
        answer = ctl(deployment, 0, "drain engine engine-0")
        assert answer.returncode == 0, answer
        for index in range(2):
            wait_for_state(deployment, index, "engine-0", "draining")
        drained = revision(deployment, 0)
        answer = ctl(deployment, 1, "undo revision %d" % drained)
        assert answer.returncode == 0, answer
        for index in range(2):
            wait_for_state(deployment, index, "engine-0", "ready")
            wait_for_revision(deployment, index, drained + 1)
        before = revision(deployment, 0)
        answers = [None, None]

        def drain_engine(index):
            answers[index] = ctl(deployment, index,
                                 "drain engine engine-%d" % (index + 1))

        threads = [threading.Thread(target=drain_engine, args=(i,))
                   for i in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        accepted = sum(answer.returncode == 0 for answer in answers)
        assert accepted >= 1, answers
        for index in range(2):
            wait_for_revision(deployment, index, before + accepted)


main()

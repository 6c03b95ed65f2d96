"""Guards against a change that is accepted at one daemon and not in force at
the others within 10 s, against an undo that cannot read the earlier revision,
and against two racing changes that both succeed."""

import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from process_support import Deployment, OPERATOR_TOKEN  # noqa: E402

BOUND_SECONDS = 10


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
    end = time.monotonic() + BOUND_SECONDS
    while time.monotonic() < end:
        answer = json.loads(ctl(deployment, index, "show engines").stdout)
        name, shown = (answer["columns"].index(column)
                       for column in ("name", "state"))
        if any(row[name] == engine and row[shown] == state
               for row in answer["rows"]):
            return
        time.sleep(0.2)
    raise AssertionError("%s is not %s at daemon %d" % (engine, state, index))


def wait_for_revision(deployment, index, expected):
    end = time.monotonic() + BOUND_SECONDS
    shown = 0
    while shown != expected:
        assert time.monotonic() < end, (index, shown, expected)
        shown = revision(deployment, index)
        assert shown <= expected, (index, shown, expected)
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

        def race(index):
            answers[index] = ctl(deployment, index,
                                 "drain engine engine-%d" % (index + 1))

        threads = [threading.Thread(target=race, args=(i,)) for i in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        accepted = sum(answer.returncode == 0 for answer in answers)
        assert accepted >= 1, answers
        for index in range(2):
            wait_for_revision(deployment, index, before + accepted)


main()

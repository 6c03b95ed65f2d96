"""Guards against wrongly reported bookings while the table service is down or
its answers are lost: a booking that is reported as not run must have no
effect, a repeated booking at most one, and model requests must be served."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(sys.argv[2], "test", "support"))
from process_support import Deployment, standin_answer  # noqa: E402

TOKENS = 20


def main():
    with Deployment(sys.argv[1]) as deployment:
        for index in range(2):
            deployment.wait_until_serving(index)
        deployment.set_table_faults(True, 0)
        status, body = deployment.book(0, "outage-1", timeout=20)
        assert status == 503, (status, body)
        assert json.loads(body)["error"]["not_run"] is True, body
        assert deployment.complete(0, 5, TOKENS) == standin_answer(5, TOKENS)
        deployment.set_table_faults(False, 0)
        time.sleep(3)
        assert "outage-1" not in deployment.effects()
        deployment.set_table_faults(False, 0.5)
        for i in range(20):
            deployment.book(i % 2, "lost-%d" % i)
            deployment.book((i + 1) % 2, "lost-%d" % i)
        effects = deployment.effects()
        duplicates = {key: n for key, n in effects.items() if n > 1}
        assert not duplicates, duplicates


main()

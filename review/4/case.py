"""A server in trouble sends bytes that are no answer in place of a head, without
end, until its connection is closed. With TROUBLE=0 it answers.

The relay serves a second service with a sound endpoint at the same time. The
check is the rule CONFIG: of the requests that are unanswered at their route's
timeout, more than half have no answer half a second later.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from support import (Client, Deployment, EXIT_BROKEN, EXIT_HELD, Engine,  # noqa
                     header, plain_answer, request_bytes, route, trouble)

TIMEOUT_MS = 2000
HALF_SECOND = 0.5
REQUESTS = 40
INTERVAL_S = 0.25
# Interim heads; none of them is an answer, and each is valid by itself.
NO_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n" * 400


def endless_head(engine, connection, line, headers, body):
    if not trouble():
        return plain_answer(engine, connection, line, headers, body)
    sent = 0
    connection.settimeout(60)
    try:
        while True:
            connection.sendall(NO_ANSWER)
            sent += len(NO_ANSWER)
    except OSError as error:
        engine.record.write("%s: connection ended after %d bytes: %s"
                            % (engine.name, sent, error))
    return False


def ask(deployment, attempt, path, outcomes):
    record = deployment.record
    begin = time.monotonic()
    status = 0
    try:
        client = Client(deployment.front(0))
        client.socket.settimeout((TIMEOUT_MS / 1000) + HALF_SECOND)
        client.send(request_bytes("GET", path, attempt, TIMEOUT_MS))
        record.write("sent %s: GET %s" % (attempt, path))
        status = client.answer()[0]
        client.close()
    except OSError as error:
        record.write("%s: %s" % (attempt, error))
    took = time.monotonic() - begin
    record.write("answered %s: %s after %.3f s"
                 % (attempt, status or "nothing", took))
    outcomes.append((attempt, status, took))


def main():
    with Deployment(FOLDER) as deployment:
        troubled = Engine(deployment.outside, "i-troubled", deployment.record,
                          endless_head)
        sound = Engine(deployment.outside, "i-sound", deployment.record)
        deployment.list_engine(troubled, "reports")
        deployment.list_engine(sound, "desk")
        deployment.configure(
            [route("status", "idempotent", "desk", timeout_ms=TIMEOUT_MS),
             route("report", "idempotent", "reports", timeout_ms=TIMEOUT_MS)],
            services=("desk", "reports"))
        deployment.start(0)
        deployment.wait_ready(0)
        time.sleep(4)  # The relay is in touch after stable_ms.
        outcomes = []
        threads = []
        for number in range(REQUESTS):
            kind = "report" if number == 4 else "status"
            threads.append(threading.Thread(
                target=ask, args=(deployment, "%s-%d" % (kind, number),
                                  "/%s/%d" % (kind, number), outcomes)))
            threads[-1].start()
            time.sleep(INTERVAL_S)
        for thread in threads:
            thread.join()
        ready = deployment.ready(0)
        unanswered = [item for item in outcomes
                      if item[1] == 0 or item[2] > TIMEOUT_MS / 1000]
        lost = [item for item in unanswered if item[1] == 0]
        broken = bool(unanswered) and 2 * len(lost) > len(unanswered)
        text = ("%d requests, %d unanswered at the timeout, %d without an "
                "answer half a second later; ready at the end: %s; rule %s"
                % (len(outcomes), len(unanswered), len(lost), ready,
                   "broken" if broken else "held"))
        deployment.record.write(text)
        print(text)
        return EXIT_BROKEN if broken else EXIT_HELD


sys.exit(main())

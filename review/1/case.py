"""A faulty engine spoils some of its chunked answers: in place of the next chunk
it writes two lines of its log, and closes. With TROUBLE=0 all answers are
sound.

The check is the rule MIXED: a client gets a success with a body that isn't the
engine's whole body; an answer that ends early must not look complete.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from support import (Client, Deployment, EXIT_BROKEN, EXIT_HELD,  # noqa
                     EXIT_NOT_RUN, Engine, header, request_bytes, route,
                     signed_head, trouble)

# garble spoils at most 0.03 of the answers of a share of 0.6 of the servers in
# the site file; here one of two engines spoils one answer in 34.
SPOILED_ONE_IN = 34
REQUESTS = 480
CLIENTS = 6
EVENTS = 10
# Bytes that are no part of an answer, where a chunk is due.
NO_CHUNK = b"worker 3 ran out of memory\r\nwhile it wrote its answer\r\n"


def whole_body(attempt, is_stream):
    if is_stream:
        return [b"id: %d\ndata: piece %d of %s\n\n"
                % (number, number, attempt.encode())
                for number in range(1, EVENTS + 1)]
    return [b"seat 12 is booked; ", b"receipt of %s: " % attempt.encode(),
            b"paid 120 EUR"]


class Spoiler:
    """Counts the answers of one engine."""

    def __init__(self):
        self.answers = 0
        self.lock = threading.Lock()

    def next_is_spoiled(self):
        with self.lock:
            self.answers += 1
            return trouble() and self.answers % SPOILED_ONE_IN == 0


def answer_with(spoiler):
    def answer(engine, connection, line, headers, body):
        attempt = header(headers, "Attempt-Id")
        is_stream = "/ask/" in line
        extra = b"Transfer-Encoding: chunked\r\n"
        if is_stream:
            extra += b"Content-Type: text/event-stream\r\n"
        connection.sendall(signed_head(attempt, extra) + b"\r\n")
        chunks = whole_body(attempt, is_stream)
        spoiled = spoiler is not None and spoiler.next_is_spoiled()
        for number, chunk in enumerate(chunks):
            if spoiled and number == len(chunks) // 2:
                connection.sendall(NO_CHUNK)
                engine.record.write("%s has spoiled its answer to %s after %d "
                                    "of %d chunks" % (engine.name, attempt,
                                                      number, len(chunks)))
                return False
            connection.sendall(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        connection.sendall(b"0\r\n\r\n")
        return True
    return answer


def ask(deployment, numbers, faults, served):
    record = deployment.record
    for number in numbers:
        kind = ("book", "status", "ask")[number % 3]
        attempt = "%s-%d" % (kind, number)
        client = Client(deployment.front(0))
        client.send(request_bytes("POST", "/%s/%d" % (kind, number), attempt,
                                  body=b"{}"))
        status, headers, body, complete = client.answer()
        client.close()
        record.write("answered %s: %d, %d bytes, %s" % (
            attempt, status, len(body), "complete" if complete else "cut"))
        expected = b"".join(whole_body(attempt, kind == "ask"))
        if 200 <= status < 300 and complete:
            served.append(attempt)
            if body != expected:
                faults.append(attempt)
                record.write("%s: the client got a complete success with %d "
                             "of %d bytes" % (attempt, len(body),
                                              len(expected)))


def main():
    with Deployment(FOLDER) as deployment:
        for service in ("desk", "models"):
            for number, spoiler in enumerate((Spoiler(), None)):
                engine = Engine(deployment.outside,
                                "i-%s-%d" % (service, number),
                                deployment.record, answer_with(spoiler))
                deployment.list_engine(engine, service)
        deployment.configure(
            [route("book", "non_idempotent", "desk", attempts=1),
             route("status", "idempotent", "desk"),
             route("ask", "streaming", "models", attempts=1,
                   target_gap_ms=400)])
        deployment.start(0)
        deployment.wait_ready(0)
        time.sleep(4)  # The relay is in touch after stable_ms.
        faults = []
        served = []
        threads = [threading.Thread(
            target=ask, args=(deployment, range(first, REQUESTS, CLIENTS),
                              faults, served)) for first in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if len(served) < REQUESTS // 2:
            print("only %d of %d requests were served" % (len(served),
                                                          REQUESTS))
            return EXIT_NOT_RUN
        text = ("%d requests, %d complete successes, %d of them with a part "
                "of the body; rule %s"
                % (REQUESTS, len(served), len(faults),
                   "broken" if faults else "held"))
        deployment.record.write(text)
        print(text)
        return EXIT_BROKEN if faults else EXIT_HELD


sys.exit(main())

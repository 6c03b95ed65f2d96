"""Starts daemons and stand-ins on loopback ports for the process tests."""

import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

TOKEN = "process-test-token"
OPERATOR_TOKEN = "process-test-operator"
MASK_64 = (1 << 64) - 1


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def standin_token(seed, position):
    """Token that the engine stand-in generates at a position of an answer.

    Must match standin_token() of the C++ sources.
    """
    state = ((seed ^ ((position << 32) & MASK_64))
             + 0x9E3779B97F4A7C15 & MASK_64)
    bits = state
    bits = ((bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    bits = ((bits ^ (bits >> 27)) * 0x94D049BB133111EB) & MASK_64
    return "w%d " % ((bits ^ (bits >> 31)) % 1000)


def standin_answer(seed, tokens):
    return "".join(standin_token(seed, i) for i in range(tokens))


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Deployment:
    """Stand-ins and daemons of one test; kills all processes on exit."""

    def __init__(self, build, daemons=2, engines=3, drain_ms=20000,
                 extra_settings=""):
        self.build = build
        self.extra_settings = extra_settings
        self.folder = tempfile.mkdtemp(prefix="agateledge-test-")
        self.drain_ms = drain_ms
        ports = free_ports(4 + engines + 3 * daemons)
        self.table_port, self.platform_port = ports[0], ports[1]
        self.desk_ports = ports[2:4]
        self.engine_ports = ports[4:4 + engines]
        rest = ports[4 + engines:]
        self.daemon_ports = [rest[3 * i:3 * i + 3] for i in range(daemons)]
        self.processes = []
        for name in ("request", "peer"):
            with open(os.path.join(self.folder, name + ".key"), "w") as file:
                file.write(sha256(name + " key of the process tests") + "\n")

    def __enter__(self):
        self.standins = self.start_process(
            [os.path.join(self.build, "standins"), "--settings",
             self.write_settings(0)], "standins")
        self.wait_for_port(self.table_port)
        self.daemons = [self.start_daemon(i)
                        for i in range(len(self.daemon_ports))]
        for ports in self.daemon_ports:
            self.wait_for_port(ports[0])
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if kind is not None:
            self.print_logs()
        shutil.rmtree(self.folder)

    def print_logs(self):
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name)) as file:
                    print("---- %s\n%s" % (name, file.read()[-4000:]))

    def write_settings(self, index):
        ports = self.daemon_ports[index]
        lines = ['name = "entry-%d"' % index, 'data_centre = "rennes-a"',
                 'log_level = "info"']
        lines += ["[listen]", 'callers = "127.0.0.1:%d"' % ports[0],
                  'operators = "127.0.0.1:%d"' % ports[1],
                  'peers = "127.0.0.1:%d"' % ports[2]]
        lines += ["[platform]", 'table = "127.0.0.1:%d"' % self.table_port,
                  'object_store = "127.0.0.1:%d"' % self.platform_port,
                  'weight_store = "127.0.0.1:%d"' % self.platform_port,
                  'membership = "127.0.0.1:%d"' % self.platform_port]
        lines += ["[keys]",
                  'request_file = "%s/request.key"' % self.folder,
                  'peer_file = "%s/peer.key"' % self.folder]
        for other, peer in enumerate(self.daemon_ports):
            if other != index:
                lines += ["[[peer]]", 'name = "entry-%d"' % other,
                          'address = "127.0.0.1:%d"' % peer[2],
                          'data_centre = "rennes-a"']
        lines += ["[[operator]]", 'name = "tester"',
                  'token_sha256 = "%s"' % sha256(OPERATOR_TOKEN)]
        lines += ["[policy]", "drain_timeout_ms = %d" % self.drain_ms]
        lines += ["[[service]]", 'name = "assistant"', 'model = "manual"',
                  "[[service]]", 'name = "desk"', "plain = true"]
        lines += ["[[class]]", 'name = "lookup"', 'service = "assistant"',
                  "finish_ms = 60000", "may_wait = true",
                  "[[class]]", 'name = "booking"', 'service = "desk"',
                  "finish_ms = 5000"]
        for i, port in enumerate(self.engine_ports):
            lines += ["[[engine]]", 'name = "engine-%d"' % i,
                      'address = "127.0.0.1:%d"' % port,
                      'data_centre = "rennes-a"', 'service = "assistant"',
                      'model = "manual"', 'model_version = "1"',
                      "checks_fencing = %s" % ("true" if i % 2 else "false")]
        for i, port in enumerate(self.desk_ports):
            lines += ["[[endpoint]]", 'name = "desk-%d"' % i,
                      'address = "127.0.0.1:%d"' % port,
                      'data_centre = "rennes-a"', 'service = "desk"']
        lines += ["[[caller]]", 'name = "tester"', 'account = "test"',
                  'token_sha256 = "%s"' % sha256(TOKEN)]
        lines.append(self.extra_settings)
        path = os.path.join(self.folder, "daemon-%d.toml" % index)
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start_process(self, command, name):
        log = open(os.path.join(self.folder, name + ".log"), "a")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_daemon(self, index):
        return self.start_process(
            [os.path.join(self.build, "agateledge"), "serve", "--settings",
             self.write_settings(index)], "daemon-%d" % index)

    @staticmethod
    def wait_for_port(port, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                socket.create_connection(("127.0.0.1", port), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise AssertionError("nothing listens on port %d after %d s"
                             % (port, seconds))

    def wait_until_serving(self, index, seconds=10):
        """Waits until a daemon has a configuration and answers a request."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            text = self.complete(index, seed=1, tokens=1)
            if text == standin_answer(1, 1):
                return
            time.sleep(0.1)
        raise AssertionError("daemon %d did not answer a request within %d s"
                             % (index, seconds))

    def connect(self, index, timeout=30):
        return http.client.HTTPConnection(
            "127.0.0.1", self.daemon_ports[index][0], timeout=timeout)

    def open_stream(self, index, seed, tokens, last_event_id=None):
        """Sends a streamed request; returns the response."""
        headers = {"Authorization": "Bearer " + TOKEN,
                   "Content-Type": "application/json"}
        if last_event_id:
            headers["Last-Event-ID"] = last_event_id
        body = {"model": "manual", "stream": True, "max_tokens": tokens,
                "seed": seed, "prompt": "question len=%d " % tokens}
        connection = self.connect(index)
        connection.request("POST", "/v1/completions", json.dumps(body),
                           headers)
        return connection.getresponse()

    def complete(self, index, seed, tokens):
        """Returns the answer of one request, or None if it is incomplete."""
        stream = Stream()
        try:
            stream.read(self.open_stream(index, seed, tokens))
        except OSError:
            return None
        return stream.text if stream.done else None

    def complete_with_resume(self, first, other, seed, tokens,
                             max_attempts=40):
        """Returns the answer of a request that is resumed at the other daemon
        until it is complete, or None after `max_attempts` attempts."""
        stream = Stream()
        index = first
        for _ in range(max_attempts):
            try:
                response = self.open_stream(index, seed, tokens,
                                            stream.last_event_id)
                stream.read(response)
            except (OSError, http.client.HTTPException):
                pass
            if stream.done:
                return stream.text
            index = other if index == first else first
            time.sleep(0.1)
        return None

    def book(self, index, key, timeout=10):
        """Returns status and body of a booking; status 0 without an answer."""
        headers = {"Authorization": "Bearer " + TOKEN,
                   "Idempotency-Key": key}
        try:
            connection = self.connect(index, timeout)
            connection.request("POST", "/v1/services/desk/bookings", "{}",
                               headers)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""

    def effects(self):
        """Returns the number of effects by idempotency key."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.desk_ports[0], timeout=5)
        connection.request("GET", "/effects")
        return json.loads(connection.getresponse().read())

    def set_table_faults(self, outage, lost_answers):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.table_port, timeout=5)
        connection.request("POST", "/faults", json.dumps(
            {"outage": outage, "lost_answers": lost_answers}))
        connection.getresponse().read()


class Stream:
    """Text and last event id of a streamed answer, over all its responses."""

    def __init__(self):
        self.text = ""
        self.last_event_id = None
        self.done = False

    def read(self, response):
        pending_id = None
        if response.status != 200:
            response.read()
            return
        for line in response:
            line = line.decode().rstrip("\r\n")
            if line.startswith("id: "):
                pending_id = line[4:]
            if line.startswith("data: "):
                self.append_data(line[6:])
            if line == "" and pending_id is not None:
                self.last_event_id = pending_id

    def append_data(self, data):
        if data == "[DONE]":
            self.done = True
            return
        event = json.loads(data)
        for choice in event.get("choices", []):
            self.text += choice.get("text") or ""

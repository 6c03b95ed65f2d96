"""Stand-ins and process control for the review cases.

A `Deployment` starts `target/agateledge relay` as separate processes, with
settings made from `deploy/settings.toml`, on loopback addresses and free ports.
The store, the engines and the clients are small stand-ins in this process.
"""

import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PROGRAM = os.path.join(ROOT, "target", "agateledge")
HOST = "shop.example"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        item = socket.socket()
        item.bind((ip, 0))
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Record:
    """Log of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()


def read_head(stream):
    """Returns (first line, list of headers) or None at the end."""
    line = stream.readline()
    if not line:
        return None
    headers = []
    while True:
        item = stream.readline()
        if not item:
            return None
        if item in (b"\r\n", b"\n"):
            break
        name, _, value = item.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    return line.decode("latin-1").rstrip("\r\n"), headers


def header(headers, name, default=None):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


def read_body(stream, headers):
    if "chunked" in (header(headers, "Transfer-Encoding") or "").lower():
        out = b""
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            if size == 0:
                while stream.readline() not in (b"\r\n", b"\n", b""):
                    pass
                return out
            out += stream.read(size)
            stream.readline()
    return stream.read(int(header(headers, "Content-Length") or 0))


class Server:
    """Threaded TCP server on a loopback address."""

    def __init__(self, ip, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        self.closing = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closing:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.guard, args=(connection,),
                             daemon=True).start()

    def guard(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self.serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def close(self):
        self.closing = True
        self.listener.close()


class Store(Server):
    """The platform's store: rows, transactions and long polls."""

    def __init__(self, ip):
        self.rows = {}
        self.version = 0
        self.changed = threading.Condition()
        # Called for each request with its first line; returns None to answer
        # it, or a status to refuse it.
        self.gate = lambda line: None
        super().__init__(ip)

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            text = json.dumps(value).encode()
            self.rows[(table, "", key)] = (text, self.version)
            self.changed.notify_all()

    def drop(self, table, key):
        with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (None, self.version)
            self.changed.notify_all()

    def row(self, place, entry):
        table, part, key = place
        value, version = entry
        out = {"table": table, "part": part, "key": key,
               "row_version": version}
        if value is None:
            out["deleted"] = True
        else:
            out["value"] = base64.b64encode(value).decode()
        return out

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            body = read_body(stream, head[1])
            status = self.gate(head[0])
            document = {"error": "busy"}
            if status is None:
                status, document = self.answer(head[0], body)
            text = json.dumps(document).encode()
            connection.sendall(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)

    def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(item.partition("=")[::2] for item in query.split("&"))
        if path == "/v1/rows-get":
            with self.changed:
                rows = [self.row(place, entry)
                        for place, entry in sorted(self.rows.items())
                        if place[0] == fields["table"] and entry[0] is not None]
                return 200, self.page(rows)
        if path == "/v1/rows-feed":
            return 200, self.feed(fields["table"], int(fields["after"]),
                                  int(fields.get("wait_ms", 0)) / 1000)
        if path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        return 404, {"error": "no such call"}

    def page(self, rows):
        return {"rows": rows, "truncated": False, "row_version": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    def feed(self, table, after, wait):
        end = time.monotonic() + wait
        with self.changed:
            while True:
                rows = [self.row(place, entry)
                        for place, entry in sorted(self.rows.items(),
                                                   key=lambda i: i[1][1])
                        if place[0] == table and entry[1] > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self.page(rows)
                self.changed.wait(left)

    def transact(self, call):
        with self.changed:
            self.version += 1
            for row in call.get("puts", []):
                place = (row["table"], row["part"], row["key"])
                self.rows[place] = (base64.b64decode(row["value"]),
                                    self.version)
            for row in call.get("remove", []):
                place = (row["table"], row["part"], row["key"])
                self.rows[place] = (None, self.version)
            self.changed.notify_all()
            return 200, self.page([])


class Engine(Server):
    """An engine or a booking endpoint. `on_request(engine, connection, line,
    headers, body)` answers; the default echoes the body with a signature."""

    def __init__(self, ip, name, record, on_request=None, on_connect=None):
        self.name = name
        self.record = record
        self.on_request = on_request or plain_answer
        self.on_connect = on_connect
        self.runs = []
        self.lock = threading.Lock()
        super().__init__(ip)

    def serve(self, connection):
        if self.on_connect and self.on_connect(self, connection):
            return
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            line, headers = head
            body = read_body(stream, headers)
            target = header(headers, "Target-Instance")
            if target is not None and target != self.name:
                connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\n"
                                   b"Instance-Id: %s\r\nContent-Length: 0\r\n"
                                   b"\r\n" % self.name.encode())
                continue
            attempt = header(headers, "Attempt-Id")
            if attempt is None:
                # Cache changes and the release of handles.
                text = b'{"epoch":1,"next":0,"lost":false,"events":[]}'
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d"
                                   b"\r\n\r\n" % len(text) + text)
                continue
            with self.lock:
                self.runs.append((attempt, line, headers, body))
            self.record.write("run %s at %s: %s, %d body bytes"
                              % (attempt, self.name, line, len(body)))
            if not self.on_request(self, connection, line, headers, body):
                return


def signed_head(attempt, extra=b""):
    return (b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
            b"Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            % attempt.encode() + extra)


def plain_answer(engine, connection, line, headers, body):
    attempt = header(headers, "Attempt-Id", "none")
    text = ("done %s" % attempt).encode()
    connection.sendall(signed_head(attempt) +
                       b"Content-Length: %d\r\n\r\n" % len(text) + text)
    return True


class Deployment:
    def __init__(self, folder, relays=1, grace_s=8, drain_ms=2000,
                 stable_ms=3000, budget_extra=58):
        if not os.path.exists(PROGRAM):
            print("target/agateledge is missing; run the build first")
            sys.exit(EXIT_NOT_RUN)
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.mkdtemp(prefix="agateledge-review-")
        block = "127.%d.%d." % (1 + os.getpid() // 250 % 250,
                                1 + os.getpid() % 250)
        self.ips = [block + str(10 + i) for i in range(relays)]
        self.outside = block + "200"
        self.store = Store(self.outside)
        self.bounds = {"grace_s": grace_s, "drain_ms": drain_ms,
                       "stable_ms": stable_ms, "budget_ratio": 0.2,
                       "budget_extra": budget_extra, "budget_window_s": 10}
        self.ports = [free_ports(ip, 3) for ip in self.ips]
        self.processes = [None] * relays
        self.all_processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.all_processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def settings(self, index):
        ip = self.ips[index]
        front, ready, peer = self.ports[index]
        values = {"node": "edge-a-%d" % index, "zone": "zone-a", "ip": ip,
                  "listen.frontend": "%s:%d" % (ip, front),
                  "listen.readiness": "%s:%d" % (ip, ready),
                  "port_range.0": str(peer),
                  "platform.address": self.store.address,
                  "limits.max_fds": "4100"}
        values.update(("bounds." + key, str(value))
                      for key, value in self.bounds.items())
        with open(os.path.join(ROOT, "deploy", "settings.toml")) as file:
            text = re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m.group(1)],
                          file.read())
        path = os.path.join(self.temporary, "edge-%d.toml" % index)
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self, index):
        environment = {"PATH": os.environ.get("PATH", ""),
                       "AGATELEDGE_BOOT": self.settings(index)}
        log = open(os.path.join(self.temporary, "edge-%d.log" % index), "a")
        process = subprocess.Popen([PROGRAM, "relay"], cwd=ROOT, stdout=log,
                                   stderr=log, env=environment)
        self.processes[index] = process
        self.all_processes.append(process)
        self.record.write("started relay %d" % index)

    def log(self, index):
        with open(os.path.join(self.temporary, "edge-%d.log" % index)) as file:
            return file.read()

    def front(self, index):
        return self.ips[index], self.ports[index][0]

    def ready(self, index):
        try:
            with socket.create_connection(
                    (self.ips[index], self.ports[index][1]), 1) as item:
                item.settimeout(1)
                item.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return item.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, index, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.ready(index):
                return
            time.sleep(0.05)
        print("relay %d is not ready after %d s" % (index, seconds))
        sys.exit(EXIT_NOT_RUN)

    def signal(self, index, number):
        self.record.write("signal %s to relay %d"
                          % (signal.Signals(number).name, index))
        self.processes[index].send_signal(number)

    def list_engine(self, engine, service, **fields):
        entry = {"service": service, "address": engine.address,
                 "zone": "zone-a", "version": "v1", "slots": 64,
                 "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
                 "born": 1760000000000}
        entry.update(fields)
        self.store.put("servers", engine.name, entry)

    def configure(self, routes, version=1, services=("desk", "models")):
        self.store.put("op", "config", {
            "version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_connections": 370, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


def route(name, kind, service, timeout_ms=5000, target_ms=500, attempts=2,
          **more):
    out = {"name": name, "host": HOST, "prefix": "/%s/" % name,
           "route_type": kind, "timeout_ms": timeout_ms,
           "target_latency_ms": target_ms, "priority": 1, "service": service,
           "max_attempts": attempts, "session_affinity": False}
    out.update(more)
    return out


def request_bytes(method, path, attempt, deadline_ms=5000, body=b"", extra=()):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Attempt-Id: " + attempt, "Deadline-Ms: %d" % deadline_ms]
    lines += ["%s: %s" % item for item in extra]
    if body or method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Client:
    """One connection of a client."""

    def __init__(self, address, receive_buffer=None):
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                   receive_buffer)
        self.socket.settimeout(10)
        self.socket.connect(address)
        self.stream = self.socket.makefile("rb")

    def send(self, data):
        self.socket.sendall(data)

    def answer(self):
        """Returns (status, headers, body, complete); status 0 without one."""
        try:
            head = read_head(self.stream)
            if head is None:
                return 0, [], b"", False
            status = int(head[0].split(" ")[1])
            length = header(head[1], "Content-Length")
            if length is not None:
                body = self.stream.read(int(length))
                return status, head[1], body, len(body) == int(length)
            try:
                return status, head[1], read_body(self.stream, head[1]), True
            except ValueError:
                return status, head[1], b"", False
        except OSError:
            return 0, [], b"", False

    def close(self):
        self.stream.close()
        self.socket.close()

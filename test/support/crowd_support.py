"""Stand-ins for the tests of crowds of clients: a store and an engine, one relay
on loopback with lowered limits, and clients that send raw bytes."""

import base64
import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

MEMORY_MB = 64
MAX_DESCRIPTORS = 400
# Bounds of every test. The resident set must stay within the memory of the host
# that the settings name; the daemon is idle at about 19 MB.
MAX_RESIDENT_BYTES = MEMORY_MB << 20
ORDINARY_ATTEMPTS = 40


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers the daemon's calls to the store and to the engine."""

    protocol_version = "HTTP/1.1"
    rows = {}
    long_answer = b"x" * (2 << 20)

    def log_message(self, *_):
        pass

    def body(self):
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            out = b""
            while size := int(self.rfile.readline(), 16):
                out += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return out
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, content, headers=()):
        self.send_response(200)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def handle_call(self):
        body = self.body()
        path, _, query = self.path.partition("?")
        if path.startswith("/v1/rows-"):
            fields = dict(urllib.parse.parse_qsl(query))
            after = int(fields.get("after", 0))
            if path == "/v1/rows-feed":
                time.sleep(int(fields.get("wait_ms", 0)) / 1000)
            rows = [dict(row_version=1, part="", table=table, key=key,
                         value=base64.b64encode(
                             json.dumps(value).encode()).decode())
                    for (table, key), value in self.rows.items()
                    if table == fields.get("table") and after < 1]
            self.answer(json.dumps(
                {"rows": rows, "truncated": False, "row_version": 1,
                 "now_ms": int(time.monotonic() * 1000)}).encode())
            return
        attempt = self.headers.get("Attempt-Id")
        if attempt is None:
            self.answer(b'{"epoch":1,"next":0,"lost":false,"events":[]}')
            return
        if path.endswith("/slow"):
            time.sleep(3)
        content = (self.long_answer if path.endswith("/long")
                   else b"%d bytes" % len(body))
        self.answer(content, (
            ("Attempt-Id", attempt),
            ("Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")))

    do_GET = do_POST = handle_call


class Standin(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, ip):
        super().__init__((ip, 0), Handler)
        self.address = "%s:%d" % self.server_address
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_):
        """A connection that the daemon closed early is no failure."""


def route(name, kind, service):
    return {"name": name, "host": "crowd.example", "prefix": "/%s/" % name,
            "route_type": kind, "timeout_ms": 5000, "target_latency_ms": 500,
            "priority": 1, "service": service, "max_attempts": 2,
            "session_affinity": False}


def free_ports(ip, count):
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Relay:
    """One daemon with its stand-ins; both end with the `with` block."""

    def __init__(self, settings=""):
        build = sys.argv[1]
        self.folder = tempfile.mkdtemp(prefix="agateledge-crowd-")
        number = random.randrange(250 * 250)
        ip = "127.%d.%d.10" % (1 + number // 250, 1 + number % 250)
        self.ip = ip
        standin = Standin(ip)
        ports = free_ports(ip, 4)
        self.front, self.readiness, self.metrics = [
            (ip, port) for port in ports[:3]]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        services = ("desk", "models")
        Handler.rows = {("op", "config"): {
            "version": 1, "limits": limits,
            "routes": [route("status", "idempotent", "desk"),
                       route("book", "non_idempotent", "desk"),
                       route("ask", "streaming", "models")],
            "services": [{"name": name, "health_path": "/healthz",
                          "max_connections": 370, "protocol": "h1",
                          "tls": False} for name in services]}}
        for name in services:
            Handler.rows["servers", "i-" + name] = {
                "service": name, "address": standin.address, "zone": "a",
                "version": "v1", "slots": 64, "state": "ready",
                "cold_remaining_ms": 0, "sequence": 1, "born": 1760000000000}
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("""
name = "crowd-1"
data_centre = "a"
[listen]
callers = "%s:%d"
readiness = "%s:%d"
metrics = "%s:%d"
peers = "%s:%d"
[store]
address = "%s"
[limits]
max_descriptors = %d
memory_mb = %d
%s""" % (ip, ports[0], ip, ports[1], ip, ports[2], ip, ports[3],
         standin.address, MAX_DESCRIPTORS, MEMORY_MB, settings))
        self.log_path = os.path.join(self.folder, "log")
        with open(self.log_path, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [os.path.join(build, "agateledge"), "relay"], stdout=log,
                stderr=log, env={"AGATELEDGE_BOOT": path})
        self.clients = []

    def __enter__(self):
        for _ in range(200):
            if self.ready():
                return self
            time.sleep(0.05)
        self.__exit__()
        raise AssertionError("the daemon does not become ready")

    def __exit__(self, *_):
        for client in self.clients:
            client.close()
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def get(self, address, path, timeout=3):
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def ready(self):
        return self.get(self.readiness, "/v1/readyz")[0] == 200

    def connect(self, address=None, receive_buffer=None):
        """Opens a connection that stays open until the test ends."""
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              receive_buffer)
        client.settimeout(2)
        self.clients.append(client)
        try:
            client.connect(address or self.front)
        except OSError:
            pass
        return client

    def crowd(self, count, data, address=None, receive_buffer=None,
              wait_s=1):
        """`count` clients send `data` at the same time and stay."""
        def send():
            client = self.connect(address, receive_buffer)
            try:
                client.sendall(data)
            except OSError:
                pass  # The daemon may close the connection.
        threads = [threading.Thread(target=send) for _ in range(count)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            self.check()
            time.sleep(0.1)
        for _ in range(int(wait_s * 10)):
            self.check()
            time.sleep(0.1)

    def resident_bytes(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            fields = dict(line.split(":", 1) for line in file)
        return int(fields["VmHWM"].split()[0]) << 10

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))

    def check(self):
        """The process lives, and keeps its bounds."""
        assert self.process.poll() is None, "the daemon has ended"
        resident = self.resident_bytes()
        assert resident <= MAX_RESIDENT_BYTES, (
            "%.1f MB resident" % (resident / 1e6))
        assert self.descriptors() <= MAX_DESCRIPTORS, self.descriptors()

    def check_service(self, body=b"ordinary"):
        """One ordinary request is answered, and the bounds are kept."""
        for _ in range(ORDINARY_ATTEMPTS):
            if self.ask(body) == (200, b"%d bytes" % len(body)):
                break
            time.sleep(0.5)
        else:
            raise AssertionError("no ordinary request was answered")
        self.check()
        print("%.1f MB resident at most, %d descriptors"
              % (self.resident_bytes() / 1e6, self.descriptors()))

    def ask(self, body):
        connection = http.client.HTTPConnection(*self.front, timeout=6)
        try:
            connection.request("POST", "/book/1", body, {
                "Host": "crowd.example", "Attempt-Id": os.urandom(6).hex(),
                "Deadline-Ms": "5000"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()


def request(path="/book/1", extra="", attempt="crowd"):
    return ("POST %s HTTP/1.1\r\nHost: crowd.example\r\nAttempt-Id: %s\r\n"
            "Deadline-Ms: 5000\r\n%s" % (path, attempt, extra)).encode()


def unfinished_body(chunk_bytes, payload_bytes, path="/book/1"):
    """A request with a chunked body that stops before its end."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return (request(path, "Transfer-Encoding: chunked\r\n\r\n")
            + chunk * (payload_bytes // chunk_bytes))

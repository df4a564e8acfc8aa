"""Plays the rows of response_rows.py with real processes over loopback. Callers
read raw bytes; each end that looks complete is compared with what the worker was
to write."""

import dataclasses
import itertools
import json
import pathlib
import socket
import socketserver
import subprocess
import sys
import threading
import time

from entry_calls import is_ready, serves
from link_faults_test import LinkFaults
from response_rows import (
    ROUTES, STREAM_KINDS, Row, whole_answer, whole_body)
from session import free_port, wait_until
from users_platform import (
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration, daemon_ports)

DEADLINE_SECONDS = 4.0
READ_TIMEOUT_SECONDS = 7.0
LATE_SECONDS = 0.08
# More than the socket buffers of both ends hold.
LARGE_BODY_BYTES = 3_000_000
FOLLOWING_REQUESTS = 3
DAEMON_END_SECONDS = 2.0
# Failed hosts get no requests for some seconds.
ATTEMPTS = 60
ATTEMPT_PAUSE_SECONDS = 0.25


@dataclasses.dataclass
class Received:
    """What a caller read until the connection ended or the response did."""
    status: int
    framing: str
    body: str
    complete: bool

    def show(self):
        if self.status != 200:
            return str(self.status) if self.status else "no response"
        return (f"200 {len(self.body)} bytes by {self.framing}, "
                f"{'complete' if self.complete else 'cut'}")


def parse(data, orderly):
    """Parses what a caller read, of a connection that ended in order or not."""
    top, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return Received(0, "none", "", False)
    lines = top.decode().split("\r\n")
    fields = {k.lower(): v for k, v in (l.split(": ", 1) for l in lines[1:])}
    status = int(lines[0].split()[1])
    if "content-length" in fields:
        return Received(status, "length", rest.decode(),
                        len(rest) == int(fields["content-length"]))
    if "transfer-encoding" not in fields:
        return Received(status, "connection", rest.decode(), orderly)
    body = b""
    while True:
        size, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return Received(status, "chunks", body.decode(), False)
        count = int(size, 16)
        if count == 0:
            return Received(status, "chunks", body.decode(), rest == b"\r\n")
        body += rest[:count]
        if len(rest) < count + 2:
            return Received(status, "chunks", body.decode(), False)
        rest = rest[count + 2:]


def read_all(connection):
    """Returns the bytes until the connection ends, and whether it ended in
    order."""
    data = b""
    try:
        while True:
            part = connection.recv(65536)
            if not part:
                return data, True
            data += part
    except ConnectionError:
        return data, False


def send_call(daemon, kind, request_id, body="", version="1.1", fields=()):
    """Sends a request on a new connection and returns that. No two requests are
    alike, as those under which several workers fell are rejected."""
    method, path = ROUTES[kind]
    lines = [f"{method} {path}{request_id} HTTP/{version}", "Host: sheds.example",
             f"X-Request-Id: {request_id}", "Authorization: Bearer k1",
             f"X-Deadline-Ms: {round(DEADLINE_SECONDS * 1000)}",
             "Connection: close", *fields]
    if kind in STREAM_KINDS:
        lines += ["X-Model-Name: m1", "X-Token-Counts: 100,60"]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    host, port = daemon.address("caller").rsplit(":", 1)
    connection = socket.create_connection(
        (host, int(port)), timeout=READ_TIMEOUT_SECONDS)
    connection.sendall("\r\n".join([*lines, "", body]).encode())
    return connection


def call(daemon, kind, request_id, body="", version="1.1", fields=()):
    try:
        with send_call(daemon, kind, request_id, body, version,
                       fields) as connection:
            return parse(*read_all(connection))
    except OSError:
        return Received(0, "none", "", False)


class Control(socketserver.ThreadingTCPServer):
    """Tells raw workers what to do."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, decide):
        control = self

        class Question(socketserver.StreamRequestHandler):
            def handle(self):
                question = json.loads(self.rfile.readline())
                self.wfile.write(json.dumps(
                    control.decide(question)).encode() + b"\n")

        self.decide = decide
        super().__init__(("127.0.0.1", 0), Question)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def port(self):
        return self.server_address[1]


class RawProcess:
    """A process of raw_worker.py, started again when it has been killed."""

    def __init__(self, session, name, control):
        self.session = session
        self.name = name
        self.control = control
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.log = session.scratch_path(f"{name}.raw.log")
        self.start()

    def start(self):
        self.popen = subprocess.Popen(
            [sys.executable, str(pathlib.Path(__file__).parent /
                                 "raw_worker.py"),
             str(self.port), str(self.control.port), self.name],
            stdout=subprocess.DEVNULL, stderr=open(self.log, "ab"))
        self.session.processes[f"{self.name}.{self.popen.pid}"] = self
        wait_until(self.accepts, f"listener of {self.name}")

    def accepts(self):
        try:
            socket.create_connection(("127.0.0.1", self.port), 1).close()
            return True
        except OSError:
            return False

    def restart_if_killed(self):
        if self.popen.poll() is not None:
            self.start()


class ResponseEnds:
    """Daemons before raw workers: two daemons, the second without links to the
    workers when it is told so."""

    GROUPS = 3
    LEDGERS = 4

    def __init__(self, session):
        self.session = session
        self.store = Store()
        self.store.put("config", "main", self.configuration())
        self.lock = threading.Lock()
        # Tries by request id, and those that have arrived.
        self.plans = {}
        self.arrivals = {}
        self.kinds = {}
        self.numbers = itertools.count(1)
        self.control = Control(self.decide)
        self.processes = {}
        self.names = iter([*(f"e{i}" for i in range(2 * self.GROUPS)),
                           *(f"l{i}" for i in range(self.LEDGERS))])
        self.store.address_of = self.start_process
        self.workers = {}
        for i in range(2 * self.GROUPS):
            self.workers[f"e{i}"] = EngineWorker(
                self.store, f"e{i}", "llm", "z1", f"d{i // 2}")
        for i in range(self.LEDGERS):
            self.workers[f"l{i}"] = PlainWorker(
                self.store, f"l{i}", "ledger", "z1")
        ports = daemon_ports()
        self.links = LinkFaults(session, "cut")
        self.daemon = EntryDaemon(
            session, self.store, "a", "z1", "127.0.0.1", ports)
        self.cut_daemon = EntryDaemon(
            session, self.store, "b", "z1", "127.0.0.2", ports,
            [self.daemon.address("peer")], links=self.links)
        wait_until(lambda: is_ready(self.daemon) and
                   is_ready(self.cut_daemon), "daemons")
        wait_until(lambda: serves(self.daemon) and serves(self.cut_daemon),
                   "open groups")
        wait_until(lambda: sum(
            w.is_open_head() for w in self.workers.values()
            if isinstance(w, EngineWorker)) == self.GROUPS, "all groups")

    @staticmethod
    def configuration():
        spec = configuration(3, ["k1"])
        spec["routes"].append(
            {**spec["routes"][0], "name": "talk", "path_prefix": "/talk/",
             "stream_resume": False})
        return spec

    def start_process(self, _address):
        name = next(self.names)
        self.processes[name] = RawProcess(self.session, name, self.control)
        return self.processes[name].address

    def cut_links(self):
        """Cuts the links of the second daemon, so that it takes detours."""
        self.links.cut("reset", list(self.workers.values()))
        wait_until(lambda: "event=detour " in self.cut_daemon.stdout_text() or
                   call(self.cut_daemon, "idempotent",
                        f"w-{next(self.numbers)}") is None, "detours")

    def decide(self, question):
        worker = self.workers.get(question["worker"])
        fields = question["fields"]
        request_id = fields.get("X-Request-Id", "")
        if worker is None or (
                fields.get("X-Target-Instance") != worker.name):
            return [["send", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"]]
        path = question["request"].split()[1]
        if path == "/order":
            with worker.lock:
                status = worker.execute_order(json.loads(question["body"]))
            return [["send", f"HTTP/1.1 {status} Done\r\n"
                             "Content-Length: 2\r\n\r\n{}"]]
        if isinstance(worker, EngineWorker) and not worker.is_open_head():
            return [["send", "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n"]]
        with self.lock:
            arrived = self.arrivals.setdefault(request_id, [])
            arrived.append(worker.name)
            tries = self.plans.get(request_id, [])
        if len(arrived) <= len(tries):
            return tries[len(arrived) - 1](worker.name)
        kind = next(k for k, (_, p) in ROUTES.items() if path.startswith(p))
        first = int(fields.get("Last-Event-Id") or 0) + 1
        return [["send", whole_answer(
            worker.name, request_id, "length", kind, first)]]

    def call(self, daemon, kind, tries, version="1.1", large=False):
        """Sends requests until one has reached a worker; returns its id and
        what its caller read."""
        for _ in range(ATTEMPTS):
            request_id = f"q-{next(self.numbers)}"
            self.plans[request_id] = tries(request_id)
            received = call(
                daemon, kind, request_id,
                "b" * LARGE_BODY_BYTES if large else "", version,
                ["X-Early: 1"] if large else [])
            for process in self.processes.values():
                process.restart_if_killed()
            if self.arrivals.get(request_id):
                return request_id, received
            time.sleep(ATTEMPT_PAUSE_SECONDS)
        raise TimeoutError(f"no request of the kind {kind} reached a worker; "
                           f"{request_id}: {received.show()}")

    def play(self, row, version="1.1"):
        """Returns what the caller of a row received, and what that is: "whole",
        "as closed" (see Row.outcome), "not complete", or "EARLY": it looks
        complete, or as a part of the response, and is not."""
        daemon = (self.cut_daemon if row.moment == "over a detour"
                  else self.daemon)
        request_id, received = self.call(
            daemon, row.kind, row.tries, version,
            row.moment == "while the request is written")
        whole = whole_body(row.kind, request_id)
        if received.status != 200:
            return received, "not complete"
        if not received.complete:
            return received, ("not complete" if whole.startswith(received.body)
                              else "EARLY")
        if received.body == whole:
            return received, "whole"
        return received, ("as closed" if received.body ==
                          row.may_look_complete(request_id) else "EARLY")

    def play_second_answer(self, row):
        """Returns what the caller of a request that is answered twice received,
        and whether it and the next callers got their own answers."""
        def tries(request_id):
            def first(worker):
                answer = whole_answer(
                    worker, request_id, row.framing, row.kind)
                second = answer.replace(
                    f"X-Request-Id: {request_id}\r\n",
                    f"X-Request-Id: {row.other_id or request_id}\r\n")
                second = second[:len(second) // 2] if row.short else second
                steps = ([["send", answer], ["wait", LATE_SECONDS],
                          ["send", second]] if row.late
                         else [["send", answer + second]])
                unframed = row.framing in ("none", "http_1_0")
                return [*steps, ["close"]] if unframed else steps
            return [first]

        request_id, received = self.call(self.daemon, row.kind, tries)
        sound = (received.status != 200 or not received.complete or
                 received.body == whole_body(row.kind, request_id))
        for _ in range(FOLLOWING_REQUESTS):
            request_id, own = self.call(self.daemon, row.kind, lambda _: [])
            own_body = own.body == whole_body(row.kind, request_id)
            sound &= own_body or own.status != 200 or not own.complete
            if not own_body:
                received = own
            time.sleep(LATE_SECONDS / 2)
        return received, sound

    def play_daemon_end(self, kind, version, detour, end):
        """Ends a daemon in the middle of a response: the one that the caller is
        connected to, or the one that serves its detour. Returns what the caller
        read. No other row can be played afterwards."""
        daemon = self.cut_daemon if detour else self.daemon

        def tries(request_id):
            row = Row("length", "silence", "half", kind)
            return [lambda worker: [
                ["send", row.tries(request_id)[0](worker)[0][1]],
                ["wait", DAEMON_END_SECONDS], ["reset"]]]

        threading.Timer(DAEMON_END_SECONDS / 2, end, [self.daemon]).start()
        _, received = self.call(daemon, kind, tries, version)
        return received

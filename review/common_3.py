"""What the scripts of the third review share: daemons started with the command of
the deploy file and settings like those of its template, workers as processes of
their own, and the record of a run.

The store, the state of the workers and their answers to orders are the project's
stand-ins (testsuite/users_platform.py, testsuite/raw_worker.py)."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import socketserver
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
os.environ.setdefault("MONSOONDOCK_BIN", str(ROOT / "target" / "bin"))
sys.path.insert(0, str(ROOT / "testsuite"))

from session import Session, free_port, request, wait_until  # noqa: E402
from users_platform import (  # noqa: E402
    EngineWorker, PlainWorker, Store, configuration, daemon_ports)

HELD, BROKEN, NOT_RUN = 0, 1, 2
# A worker writes its entry about this often.
HEARTBEAT_SECONDS = 1.2


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run, written to record.txt as it goes."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.say(f"TROUBLE={int(has_trouble())}")

    def say(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.start:8.3f} s  {text}"
            print(line, flush=True)
            self.file.write(line + "\n")
            self.file.flush()


class Daemon:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, session, store, name, zone, ip, ports, first_start=True):
        self.ip = ip
        self.name = name
        self.ports = ports
        config = session.write_file(f"{name}.toml", (
            f'daemon = "{name}"\nregion = "r"\ndata_centre = "{zone}"\n'
            + "".join(f'{key}_address = "{ip}:{port}"\n'
                      for key, port in ports.items())
            + f'platform_address = "{store.server.address}"\n'
            f'processor_cores = 0.25\n'
            f'first_start = {str(first_start).lower()}\n'
            'grace = "8s"\ndrain_time = "2000ms"\ndirectory_ttl = "2s"\n'
            '[retries]\nratio = 0.2\nslack = 107\nwindow = "10s"\n'))
        self.log = session.scratch_path(f"{name}.stderr")
        self.stdout = session.scratch_path(f"{name}.stdout")
        self.popen = subprocess.Popen(
            ["target/bin/monsoondockd", "--entry", "--config", str(config)],
            cwd=ROOT, stdout=open(self.stdout, "wb"),
            stderr=open(self.log, "wb"))
        session.processes[f"{name}.{self.popen.pid}"] = self

    def address(self, key):
        return f"{self.ip}:{self.ports[key]}"

    def is_ready(self):
        try:
            return request(self.address("ready"), "GET", "/ready").status == 200
        except Exception:  # pylint: disable=broad-except
            return False

    def log_of(self, text):
        """Returns the lines of the log that contain the text."""
        lines = pathlib.Path(self.stdout).read_text(errors="replace")
        return [line for line in lines.splitlines() if text in line]


class Control(socketserver.ThreadingTCPServer):
    """Tells the processes of raw_worker.py what to do."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, decide):
        class Question(socketserver.StreamRequestHandler):
            def handle(self):
                question = json.loads(self.rfile.readline())
                self.wfile.write(json.dumps(decide(question)).encode() + b"\n")

        super().__init__(("127.0.0.1", 0), Question)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def port(self):
        return self.server_address[1]


class WorkerProcess:
    """A process of raw_worker.py, which can be started again at its address."""

    def __init__(self, session, name, control):
        self.session = session
        self.name = name
        self.control = control
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.log = session.scratch_path(f"{name}.log")
        self.start()

    def start(self):
        self.popen = subprocess.Popen(
            [sys.executable, str(ROOT / "testsuite" / "raw_worker.py"),
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

    def is_running(self):
        return self.popen.poll() is None


class Platform:
    """The store and model workers, each of them a process. `answer` returns the
    steps of raw_worker.py for a request that reaches the head of a group."""

    def __init__(self, session, record, config, domains, answer):
        self.session = session
        self.record = record
        self.answer = answer
        self.store = Store()
        self.store.put("config", "main", config)
        self.control = Control(self.decide)
        self.processes = {}
        self.workers = {}
        for number, domain in enumerate(domains):
            name = f"e{number}"
            process = WorkerProcess(session, name, self.control)
            self.processes[name] = process
            self.store.address_of = lambda _, p=process: p.address
            self.workers[name] = EngineWorker(
                self.store, name, "llm", "z1", domain)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        """The workers that run write their entries."""
        while True:
            time.sleep(HEARTBEAT_SECONDS)
            for name, worker in self.workers.items():
                if self.processes[name].is_running():
                    with worker.lock:
                        worker.entry["seq_no"] += 1
                        worker.publish()

    def decide(self, question):
        worker = self.workers.get(question["worker"])
        fields = question["fields"]
        if worker is None or fields.get("X-Target-Instance") != worker.name:
            return [["send", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"]]
        if question["request"].split()[1] == "/order":
            with worker.lock:
                status = worker.execute_order(json.loads(question["body"]))
            return [["send", f"HTTP/1.1 {status} Done\r\n"
                             "Content-Length: 2\r\n\r\n{}"]]
        if not worker.is_open_head():
            return [["send", "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n"]]
        return self.answer(worker.name, question)

    def start_again(self, name):
        """A worker that has crashed is back under its id, in no group."""
        worker = self.workers[name]
        with worker.lock:
            worker.entry.pop("group", None)
            worker.entry.update(
                models=[], seq_no=0, born=int(time.time() * 1000))
        self.processes[name].start()
        with worker.lock:
            worker.publish()
        self.record.say(f"worker {name} is back at its address")

    def open_heads(self):
        return [name for name, w in self.workers.items() if w.is_open_head()]


def read_response(connection, pace=None):
    """Reads a response to its end. Returns the status, the body and whether it
    ended as its framing says. `pace` is called with the bytes read so far before
    each read and returns how many more to read."""
    data = b""
    orderly = True
    try:
        while True:
            part = connection.recv(pace(len(data)) if pace else 65536)
            if not part:
                break
            data += part
            if data.endswith(b"\r\n0\r\n\r\n"):
                break
    except OSError:
        orderly = False
    top, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return 0, b"", False
    lines = top.decode("latin-1").split("\r\n")
    fields = {k.lower(): v for k, v in (l.split(": ", 1) for l in lines[1:])}
    status = int(lines[0].split()[1])
    if "content-length" in fields:
        return status, rest, len(rest) == int(fields["content-length"])
    if "transfer-encoding" not in fields:
        return status, rest, orderly
    body = b""
    while True:
        size, separator, rest = rest.partition(b"\r\n")
        if not separator:
            return status, body, False
        count = int(size, 16)
        if count == 0:
            return status, body, rest == b"\r\n"
        body += rest[:count]
        if len(rest) < count + 2:
            return status, body, False
        rest = rest[count + 2:]


def end_early(number, _frame):
    raise InterruptedError(f"ended by signal {number}")


def run(folder, play):
    """Runs a case and ends with its exit status."""
    record = Record(folder)
    status = NOT_RUN
    # The processes are ended when the with-block is left.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_early)
    try:
        with contextlib.redirect_stderr(sys.stdout), Session() as session:
            status = play(session, record)
    except Exception as error:  # pylint: disable=broad-except
        record.say(f"the case could not run: {error!r}")
    record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                NOT_RUN: "not run"}[status])
    # The threads of the stand-ins are left behind.
    sys.stdout.flush()
    os._exit(status)

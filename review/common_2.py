"""What the scripts of review/6 to review/10 share: the start of entry daemons
as the deploy file starts them, a plain worker that can crash and start again,
and the record of a run. Store and session are those of the project's tests."""

import contextlib
import http.client
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))

import session as sessions  # noqa: E402
import users_platform as platform  # noqa: E402

LOOPBACK = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]


def free_port(count=1):
    """Returns a port that is free, with the ports after it, for TCP and UDP on
    the loopback addresses that the daemons use."""
    while True:
        with contextlib.ExitStack() as sockets:
            port = 0
            try:
                for number in range(count):
                    for ip in LOOPBACK:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            s = sockets.enter_context(socket.socket(type=kind))
                            s.bind((ip, port + number if port else 0))
                            port = port or s.getsockname()[1]
            except OSError:
                continue
            return port


# That of the tests binds all addresses for a moment.
platform.free_port = free_port

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the small deployments.
STABLE_WINDOW_S = 3.0
HEARTBEAT_S = 1.2
CLOSED = 0


class Record:
    """Lines with the time since the start, in record.txt of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def say(self, text):
        with self.lock:
            at = time.monotonic() - self.start
            self.file.write(f"{at:8.3f} {text}\n")
            self.file.flush()

    def now(self):
        return time.monotonic() - self.start


def main(folder, run):
    """Runs a case: exit status 1 if run returns true (the rule was broken), 0
    if it returns false, 2 if the case could not run."""
    # The session ends its processes also when the time is over.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record.say(f"trouble: {'yes' if TROUBLE else 'no'}")
    try:
        with sessions.Session(ROOT / "target" / "bin") as session:
            broken = run(session, record)
    except Exception as error:  # pylint: disable=broad-except
        record.say(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        os._exit(2)
    record.say("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    # Threads of the stand-ins may still wait for a peer.
    sys.stdout.flush()
    os._exit(1 if broken else 0)


class Daemon:
    """An entry daemon, started with the command of the deploy file."""

    def __init__(self, session, store, name, zone, ip, ports, seeds,
                 first_start=True):
        self.session = session
        self.name = name
        self.ip = ip
        self.ports = ports
        # The fields of platform/daemon.toml.template.
        self.settings = {
            "daemon": name, "region": "r", "data_centre": zone,
            "caller_address": f"{ip}:{ports['caller']}",
            "ready_address": f"{ip}:{ports['ready']}",
            "directory_address": f"{ip}:{ports['directory']}",
            "peer_address": f"{ip}:{ports['peer']}",
            "metrics_address": f"{ip}:{ports['metrics']}",
            "platform_address": store.server.address}
        self.seeds = seeds
        self.starts = 0
        self.start(first_start)

    def start(self, first_start):
        self.starts += 1
        text = "".join(f'{k} = "{v}"\n' for k, v in self.settings.items())
        listed = ", ".join(f'"{s}"' for s in self.seeds)
        text += (f"seed_hosts = [{listed}]\nprocessor_cores = 0.25\n"
                 f"first_start = {str(first_start).lower()}\n"
                 'grace = "8s"\ndrain_time = "2000ms"\ndirectory_ttl = "2s"\n'
                 '[retries]\nratio = 0.2\nslack = 107\nwindow = "10s"\n')
        config = self.session.write_file(f"{self.name}.toml", text)
        self.stdout = self.session.scratch_path(f"{self.name}.stdout")
        self.log = pathlib.Path(
            self.session.scratch_path(f"{self.name}.stderr"))
        self.popen = subprocess.Popen(
            [str(self.session.bin / "monsoondockd"), "--entry", "--config",
             str(config)],
            stdout=open(self.stdout, "ab"), stderr=open(self.log, "ab"))
        self.session.processes[f"{self.name}.{self.popen.pid}"] = self

    def address(self, key):
        return f"{self.ip}:{self.ports[key]}"

    def is_ready(self):
        try:
            return sessions.request(
                self.address("ready"), "GET", "/ready", timeout=2).status == 200
        except (sessions.ConnectionDropped, OSError):
            return False

    def log_lines(self, pattern):
        text = pathlib.Path(self.stdout).read_text(errors="replace")
        return [line for line in text.splitlines() if re.search(pattern, line)]


def start_daemons(session, store, names):
    """Starts daemons on 127.0.0.1 and the addresses after it. Chooses other
    ports if one was taken meanwhile."""
    for _ in range(5):
        ports = platform.daemon_ports()
        daemons = []
        for number, name in enumerate(names):
            seeds = [daemons[0].address("peer")] if daemons else []
            daemons.append(Daemon(session, store, name, "z1",
                                  LOOPBACK[number], ports, seeds))
        time.sleep(0.5)
        if all(d.popen.poll() is None for d in daemons):
            return daemons
        for d in daemons:
            if d.popen.poll() is None:
                d.popen.kill()
                d.popen.wait()
    raise RuntimeError("no free ports")


def send(daemon, request_id, path, method="GET", body="", deadline_ms=1500,
         key="k1", timeout=12, headers=()):
    """Sends one request on a new channel. Returns status (CLOSED for a channel
    that was closed without a whole answer), headers and body."""
    host, port = daemon.address("caller").rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body or None, {
            "Host": "sheds.example", "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}", **dict(headers)})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return CLOSED, {}, b""
    finally:
        connection.close()


class CrashingWorker(platform.Worker):
    """A plain worker whose process crashes when it begins to run a request with
    the path in poison. It is back after some seconds, on its address, under the
    id that it had or under a new one."""

    BACK_AFTER_S = 2.0

    def __init__(self, store, name, service, zone, record, keeps_id, on_crash):
        self.record = record
        self.keeps_id = keeps_id
        self.on_crash = on_crash
        self.poison = None
        self.life = 1
        self.base_name = name
        self.crashing = False
        self.connections = set()
        super().__init__(store, name, service, zone)
        self.track_connections()

    def track_connections(self):
        worker = self
        server = self.server
        accept = server.get_request

        def get_request():
            connection, address = accept()
            worker.connections.add(connection)
            return connection, address

        server.get_request = get_request

    def serve(self, handler, body):
        request_id = handler.headers["X-Request-Id"]
        self.record.say(f"{self.name} (born {self.entry['born']}) runs "
                        f"{request_id} {handler.command} {handler.path}")
        if self.poison and handler.path == self.poison:
            self.crash(request_id)
            handler.close_connection = True
            raise OSError("crashed")
        time.sleep(0.02)
        handler.answer(200, b"done " + body, self.seal_headers(handler))

    def crash(self, request_id):
        with self.lock:
            if self.crashing:
                return
            self.crashing = True
        self.on_crash(self, request_id)
        self.record.say(f"{self.name} crashes")
        threading.Thread(target=self.server.shutdown, daemon=True).start()
        self.server.socket.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass
        self.connections.clear()
        threading.Timer(self.BACK_AFTER_S, self.start_again).start()

    def start_again(self):
        old = self.server
        port = old.port
        handler = old.RequestHandlerClass

        class SamePort(platform.Server):
            def __init__(self):  # pylint: disable=super-init-not-called
                self.port = port
                self.address = old.address
                platform.http.server.ThreadingHTTPServer.__init__(
                    self, ("127.0.0.1", port), handler)

        self.server = SamePort()
        self.track_connections()
        self.life += 1
        if not self.keeps_id:
            gone = self.name
            self.name = f"{self.base_name}-{self.life}"
            # The old entry lapses after three heartbeats of silence.
            threading.Timer(3 * HEARTBEAT_S - self.BACK_AFTER_S,
                            lambda: self.store.remove("servers", gone)).start()
        self.entry["born"] = int(time.time() * 1000)
        self.crashing = False
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()
        self.publish()
        self.record.say(f"{self.name} is back (born {self.entry['born']})")

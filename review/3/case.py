"""Requests with a part of a prompt that crashes workers, in a quiet time. See
claim.txt."""

import concurrent.futures
import http.server
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, "..")
from common import STABLE_SECONDS, TROUBLE, Daemon, run_case  # noqa: E402
from entry_calls import call, serves  # noqa: E402
from session import ConnectionDropped, wait_until  # noqa: E402
from users_platform import (  # noqa: E402
    EngineWorker, Server, Store, configuration, daemon_ports)

ENGINES = 8
HEARTBEAT_SECONDS = 1.2
# "the worker is back after some seconds"
DOWN_SECONDS = 4.0
BAD_PART = "5c1e07a2"
BAD_SECONDS = 1.0
SOUND_SECONDS = 5.0
PLAY_SECONDS = 40


class Listener(Server):
    """A server on the port that an earlier one had."""

    def __init__(self, port, handler):
        self.port = port
        self.address = f"127.0.0.1:{port}"
        http.server.ThreadingHTTPServer.__init__(
            self, ("127.0.0.1", port), handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class FragileEngine(EngineWorker):
    """Crashes as it begins to write an answer on BAD_PART: its channels are
    reset and its port is closed. Its entry is removed after three heartbeat
    intervals. Later it starts again under its id."""

    def __init__(self, *arguments):
        self.down = False
        self.crashes = []
        self.bad_arrivals = []
        super().__init__(*arguments)

    def serve(self, handler, body):
        prompt = handler.headers.get("X-Prompt-Prefix", "")
        if BAD_PART not in prompt or not self.is_open_head():
            super().serve(handler, body)
            return
        request_id = handler.headers["X-Request-Id"]
        self.bad_arrivals.append((time.monotonic(), request_id))
        self.record(f"{self.name} begins {request_id}")
        if not TROUBLE:
            super().serve(handler, body)
            return
        handler.send_response(200)
        for name, value in self.seal_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        time.sleep(0.05)
        with self.lock:
            first, self.down = not self.down, True
        if first:
            self.crashes.append(time.monotonic())
            self.record(f"{self.name} has crashed")
            threading.Thread(target=self.come_back, daemon=True).start()
        self.reset(handler)

    def reset(self, handler):
        handler.close_connection = True
        handler.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        handler.connection.close()
        raise ConnectionResetError

    def wait_after_event(self, handler, number):
        super().wait_after_event(handler, number)
        if self.down:
            self.reset(handler)

    def come_back(self):
        end = time.monotonic() + DOWN_SECONDS
        port, handler = self.server.port, self.server.RequestHandlerClass
        self.server.shutdown()
        self.server.server_close()
        time.sleep(3 * HEARTBEAT_SECONDS - 0.5)
        with self.lock:
            self.entry.pop("group", None)
            self.entry.update(models=[], born=int(time.time() * 1000))
        self.store.remove("servers", self.name)
        time.sleep(max(0, end - time.monotonic()))
        self.down = False
        self.server = Listener(port, handler)
        self.publish()
        self.record(f"{self.name} is back")


def ask(daemon, request_id, parts, record):
    try:
        answer = call(daemon, request_id, "/chat/1", body=f"ask {request_id}",
                      **{"X-Model-Name": "m1", "X-Token-Counts": "1460,60",
                         "X-Prompt-Prefix": parts})
        outcome = answer.status
    except ConnectionDropped:
        outcome = "channel closed"
    record(f"answer to {request_id} from {daemon.name}: {outcome}")
    return outcome


def case(processes, record):
    FragileEngine.record = staticmethod(record)
    store = Store()
    store.put("config", "main", configuration(3, ["k1"]))
    engines = [FragileEngine(store, f"e{i}", "llm", "z1", f"d{i // 4}")
               for i in range(ENGINES)]
    ports = daemon_ports()
    daemons = [Daemon(processes, store, n, "z1", f"127.0.0.{i + 1}", ports)
               for i, n in enumerate("ab")]
    wait_until(lambda: all(serves(d) for d in daemons), "groups that serve")
    wait_until(lambda: sum(e.is_open_head() for e in engines) == ENGINES // 2,
               "all groups")
    time.sleep(STABLE_SECONDS)
    begun = time.monotonic()
    sound = []
    with concurrent.futures.ThreadPoolExecutor(32) as callers:
        bad = 0
        while time.monotonic() < begun + PLAY_SECONDS:
            passed = time.monotonic() - begun
            if passed >= bad * BAD_SECONDS:
                callers.submit(ask, daemons[bad % 2], f"bad-{bad}",
                               f"91bd3f06:800,{BAD_PART}:410,{bad:x}:250",
                               record)
                bad += 1
            if passed >= len(sound) * SOUND_SECONDS:
                n = len(sound)
                sound.append(callers.submit(
                    ask, daemons[n % 2], f"sound-{n}",
                    f"91bd3f06:800,e4402b7d:410,{n + 4096:x}:250", record))
            time.sleep(0.02)
    served = sum(s.result() == 200 for s in sound)
    crashes = sorted(t for e in engines for t in e.crashes)
    record(f"crashes: {[round(t - begun, 1) for t in crashes]}")
    record(f"not checked: sound requests served: {served} of {len(sound)}")
    if len(crashes) < 5:
        return []
    late = {request_id for e in engines for at, request_id in e.bad_arrivals
            if at > crashes[4] + STABLE_SECONDS}
    record("requests with the part that reached a worker later than "
           f"stable_window_ms after the fifth crash: {sorted(late)}")
    # "More than three requests with a part that crashes workers"
    if len(late) <= 3:
        return []
    return [f"BUDGET: {len(late)} requests with a part that crashes workers "
            "reached workers later than stable_window_ms after the fifth of "
            f"{len(crashes)} crashes"]


run_case(".", case)

"""Workers spoil two answers of four hundred: one digit too many in the id of an
event."""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common_3 import (  # noqa: E402
    BROKEN, HELD, NOT_RUN, Daemon, EngineWorker, Store, configuration,
    daemon_ports, has_trouble, run, wait_until)

FOLDER = pathlib.Path(__file__).resolve().parent
REQUESTS = 400
SPOILED = {150, 350}
EVENTS = 40


def events_from(first, request_id):
    return "".join(f"id: {n}\ndata: {request_id} piece {n} "
                   f"{(n * 2654435761) % 2**32:08x}\n\n"
                   for n in range(first, EVENTS + 1)).encode()


def spoil(body):
    """Puts one byte too many into the stream."""
    return body.replace(b"id: 7\n", b"id: 70\n")


class SpoilingWorker(EngineWorker):
    """Sends whole streams in chunks, and spoils some."""

    record = None
    lock_of_all = threading.Lock()
    spoiled = set()
    runs = {}

    def stream(self, handler, first):
        request_id = handler.headers["X-Request-Id"]
        body = events_from(first, request_id)
        with self.lock_of_all:
            number = (int(request_id[2:]) if request_id.startswith("q-")
                      else 0)
            spoils = (has_trouble() and number in SPOILED
                      and request_id not in self.spoiled)
            if spoils:
                self.spoiled.add(request_id)
                body = spoil(body)
            self.runs.setdefault(request_id, []).append(body)
        handler.send_response(200)
        for name, value in self.seal_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        half = len(body) // 2
        for part in (body[:half], body[half:]):
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(part), part))
        handler.wfile.write(b"0\r\n\r\n")
        if spoils:
            self.record.say(f"worker {self.name} spoils {request_id}")


def call(daemon, request_id):
    """Returns the status, the fields, the body and whether it is complete."""
    with socket.create_connection(
            (daemon.ip, daemon.ports["caller"]), timeout=6) as connection:
        connection.sendall((
            "POST /chat/1 HTTP/1.1\r\nHost: sheds.example\r\n"
            f"X-Request-Id: {request_id}\r\nAuthorization: Bearer k1\r\n"
            "X-Deadline-Ms: 4000\r\nX-Model-Name: m1\r\n"
            "X-Token-Counts: 100,40\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n").encode())
        data = b""
        while True:
            part = connection.recv(65536)
            if not part:
                break
            data += part
    top, _, rest = data.partition(b"\r\n\r\n")
    lines = top.decode("latin-1").split("\r\n")
    fields = {k.lower(): v for k, v in (l.split(": ", 1) for l in lines[1:])}
    status = int(lines[0].split()[1]) if lines[0] else 0
    if "transfer-encoding" not in fields:
        return status, fields, rest, len(rest) == int(
            fields.get("content-length", -1))
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        count = int(size, 16)
        if count == 0:
            return status, fields, body, True
        body += rest[:count]
        rest = rest[count + 2:]
    return status, fields, body, False


def play(session, record):
    SpoilingWorker.record = record
    store = Store()
    store.put("config", "main", configuration(3, ["k1"]))
    engines = [SpoilingWorker(store, f"e{i}", "llm", "z1", f"d{i // 2}")
               for i in range(4)]
    daemon = Daemon(session, store, "a", "z1", "127.0.0.1", daemon_ports())
    wait_until(daemon.is_ready, "the daemon")
    wait_until(lambda: sum(e.is_open_head() for e in engines) == 2, "two groups")
    time.sleep(2)
    broken = whole = 0
    for number in range(1, REQUESTS + 1):
        request_id = f"q-{number}"
        status, _, body, complete = call(daemon, request_id)
        runs = SpoilingWorker.runs.get(request_id, [])
        record.say(f"{request_id}: sent; run {len(runs)} times; answered {status}, "
                   f"{len(body)} bytes, "
                   f"{'complete' if complete else 'not complete'}")
        if status != 200 or not complete:
            continue
        # The body of one worker, or of a stream that was resumed rightly.
        sound = body in runs or body == events_from(1, request_id)
        whole += sound
        if sound:
            continue
        broken += 1
        record.say(
            f"{request_id}: 200, complete, {len(body)} bytes and "
            f"{body.count(b'id: ')} events; the worker sent "
            f"{[len(r) for r in runs]} bytes and "
            f"{[r.count(b'id: ') for r in runs]} events; the last piece "
            f"{'has come' if body.endswith(runs[0][-30:]) else 'is missing'}")
    for request_id in sorted(SpoilingWorker.spoiled):
        for line in daemon.log_of(f"request={request_id} "):
            record.say("log: " + line)
    record.say(f"{whole} of {REQUESTS} whole; {broken} answers look complete and "
               "are not the worker's body")
    if has_trouble() and len(SpoilingWorker.spoiled) < len(SPOILED):
        return NOT_RUN
    if not has_trouble() and whole < REQUESTS * 0.9:
        return NOT_RUN
    return BROKEN if broken else HELD


run(FOLDER, play)

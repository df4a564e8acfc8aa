"""Stand-ins of the users' platform for golden sessions: its object store and
its workers. They implement only the parts of the published protocol that the
entry daemon uses, and inject faults."""

import collections
import copy
import http.server
import json
import pathlib
import socket
import struct
import subprocess
import threading
import time
import urllib.parse

from session import free_port
from work_record import Work

JOIN_SECONDS = 0.05
EVENT_SECONDS = 0.02
# Time from the header of an answer to the crash that it causes.
CRASH_SECONDS = 0.05


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server that runs in a background thread."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, handler):
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        super().__init__(("127.0.0.1", self.port), handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_):
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """An object store with one revision counter and long-poll watches."""

    def __init__(self):
        self.revision = 1
        # Raised by each restore; in a header of every answer.
        self.era = 1
        self.objects = collections.defaultdict(dict)
        self.events = []
        self.changed = threading.Condition()
        # While set, every request is answered with 503.
        self.down = threading.Event()
        # Maps the address of a worker to the one published in its entry, so
        # that a test can place a proxy in front of the worker.
        self.address_of = lambda address: address
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                self.handle_if_up(store.get)

            def do_POST(self):
                self.handle_if_up(lambda h: store.write(h, create=True))

            def do_PUT(self):
                self.handle_if_up(lambda h: store.write(h, create=False))

            def handle_if_up(self, call):
                if store.down.is_set():
                    self.read_body()
                    self.answer(503, {})
                else:
                    call(self)

            def answer(self, status, body=b"", headers=()):
                super().answer(status, body, [
                    *headers, ("Store-Era", str(store.era))])

        self.server = Server(StoreHandler)

    def copy(self):
        """Returns a copy of the content, for restore."""
        with self.changed:
            return self.revision, copy.deepcopy(self.objects)

    def restore(self, saved):
        """Replaces the content by an older copy. What was written since is
        gone, and its revisions are given out again."""
        with self.changed:
            self.era += 1
            self.revision, self.objects = copy.deepcopy(saved)
            self.events = [e for e in self.events if e[0] <= self.revision]
            self.changed.notify_all()

    def put(self, kind, name, spec):
        with self.changed:
            self.revision += 1
            item = {"metadata": {"name": name, "revision": self.revision},
                    "spec": spec}
            self.objects[kind][name] = item
            self.events.append((self.revision, kind, item, False))
            self.changed.notify_all()
            return item

    def remove(self, kind, name):
        with self.changed:
            item = self.objects[kind].pop(name, None)
            if item is None:
                return
            self.revision += 1
            self.events.append((self.revision, kind, item, True))
            self.changed.notify_all()

    def get(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = urllib.parse.parse_qs(url.query)
        parts = url.path.strip("/").split("/")
        kind = parts[1]
        if "watch" in query:
            changes = self.watch(
                kind, int(query["watch"][0]), int(query["wait_ms"][0]))
            handler.answer(200 if changes else 410, changes or {})
            return
        with self.changed:
            if len(parts) == 3:
                item = self.objects[kind].get(parts[2])
                handler.answer(200 if item else 404, item or {})
                return
            items = [self.objects[kind][n] for n in sorted(self.objects[kind])]
            handler.answer(200, {"items": items, "has_more": False,
                                 "store_revision": self.revision})

    def watch(self, kind, since, wait_ms):
        """Returns the changes after a revision, or None when there is no such
        revision."""
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                if since > self.revision:
                    return None
                events = [{"object": item, "removed": removed}
                          for revision, k, item, removed in self.events
                          if k == kind and revision > since]
                left = end - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "store_revision": self.revision}
                self.changed.wait(left)

    def write(self, handler, create):
        parts = handler.path.split("?")[0].strip("/").split("/")
        body = json.loads(handler.read_body())
        metadata = body["metadata"]
        name = metadata["name"]
        with self.changed:
            present = self.objects[parts[1]].get(name)
            expected = metadata.get("revision")
            stale = present and expected not in (
                None, present["metadata"]["revision"])
            if (create and present) or (not create and not present) or stale:
                handler.answer(409, present or {})
                return
            handler.answer(200, self.put(parts[1], name, body["spec"]))


class Worker:
    """A worker that publishes its own entry in the store."""

    def __init__(self, store, name, service, zone, **fields):
        self.store = store
        self.name = name
        self.entry = {"service": service, "zone": zone, "version": "v1",
                      "slots": 4, "state": "ready", "seq_no": 0,
                      "born": int(time.time() * 1000), **fields}
        self.lock = threading.RLock()
        self.work = []
        # While set, an object with the limit of requests a second that the
        # worker names in all answers; it is told of arrivals.
        self.limited = None
        # Bytes of the next answers, sent as they are; $ID stands for the id of
        # the request, $SEAL for the seal of the worker. Workers may share the
        # list.
        self.raw_answers = []
        # Requests, each with the address from which its connection came and
        # whether it got such an answer.
        self.arrivals = []
        worker = self

        class WorkerHandler(Handler):
            def do_GET(self):
                worker.handle(self)

            def do_POST(self):
                worker.handle(self)

        self.server = Server(WorkerHandler)
        self.entry["address"] = store.address_of(self.server.address)
        self.publish()

    def publish(self):
        self.store.put("servers", self.name, dict(self.entry))

    def drain(self):
        self.entry["state"] = "draining"
        self.publish()

    def handle(self, handler):
        body = handler.read_body()
        if handler.headers.get("X-Target-Instance") != self.name:
            handler.answer(421, {}, [("X-Instance-Id", self.name)])
        elif handler.path == "/order":
            self.order(handler, json.loads(body))
        else:
            handler.work = Work(handler.headers["X-Request-Id"])
            self.work.append(handler.work)
            limited = self.limited
            if limited is not None:
                limited.arrivals.append(time.monotonic())
            raw = self.take_raw_answer(handler)
            try:
                if raw is None:
                    self.serve(handler, body)
                else:
                    handler.wfile.write(raw)
            except OSError:
                handler.work.end("left")
                raise
            handler.work.end("whole")

    def take_raw_answer(self, handler):
        """Returns the bytes to send in place of an answer, or None."""
        request_id = handler.headers["X-Request-Id"]
        answer = self.raw_answers.pop(0) if self.raw_answers else None
        self.arrivals.append(
            (request_id, handler.client_address, answer is not None))
        if answer is None:
            return None
        return (answer.replace(b"$ID", request_id.encode())
                .replace(b"$SEAL", f"seal-{self.name}".encode()))

    def seal_headers(self, handler):
        headers = [("X-Request-Id", handler.headers["X-Request-Id"]),
                   ("X-Response-Seal", f"seal-{self.name}")]
        limited = self.limited
        if limited is not None:
            if limited.first_named is None:
                limited.first_named = time.monotonic()
            headers.append(("Server-Limit", str(limited.limit)))
        return headers


class PlainWorker(Worker):
    """Counts runs by request id. Can close the connection of the next requests
    after running them, at once or after HANG_SECONDS."""

    HANG_SECONDS = 3

    def __init__(self, store, name, service, zone):
        self.runs = collections.Counter()
        self.requests = []
        self.answers_to_drop = 0
        self.requests_to_hang = 0
        # Header fields of all answers.
        self.fields = []
        # Seconds of the pause that the next request is rejected with.
        self.pause = None
        super().__init__(store, name, service, zone)

    def serve(self, handler, body):
        with self.lock:
            if self.pause:
                handler.work.end("rejected")
                handler.answer(503, {}, [
                    *self.seal_headers(handler), ("X-Not-Executed", "1"),
                    ("Retry-After", str(self.pause))])
                self.pause = None
                return
            self.runs[handler.headers["X-Request-Id"]] += 1
            self.requests.append((
                handler.command, handler.path, body.decode(),
                handler.headers.get("X-Tenant-Id"),
                handler.headers.get("Authorization")))
            drops = self.answers_to_drop > 0
            self.answers_to_drop -= 1 if drops else 0
            hangs = self.requests_to_hang > 0
            self.requests_to_hang -= 1 if hangs else 0
        if hangs:
            time.sleep(self.HANG_SECONDS)
            handler.work.end("broke_off")
            handler.close_connection = True
            return
        if drops:
            handler.work.end("broke_off")
            handler.close_connection = True
            handler.connection.shutdown(socket.SHUT_RDWR)
            return
        self.answer_run(handler, b"done " + body)

    def answer_run(self, handler, body):
        handler.answer(
            200, body, [*self.seal_headers(handler), *self.fields])


class EngineWorker(Worker):
    """A member of replica groups, whose streams have the events 1 to EVENTS."""

    EVENTS = 12

    def __init__(self, store, name, service, zone, domain):
        self.crash_at_event = None
        # Parts of prompts under which the worker crashes; see host_troubles of
        # the soak.
        self.crashing_parts = []
        # Number of next streams that have neither a length nor chunks, and the
        # event inside which those end; None for complete ones.
        self.unframed_streams = 0
        self.truncate_at_event = None
        self.event_seconds = EVENT_SECONDS
        # Number of streams that were begun.
        self.streams = 0
        self.disconnected_requests = []
        self.timers = []
        self.crashed = False
        # Handlers of the streams in progress, which a crash cuts.
        self.open_streams = set()
        super().__init__(store, name, service, zone, domain=domain,
                         staged=[], models=[], stage="both")

    def order(self, handler, order):
        with self.lock:
            handler.answer(self.execute_order(order), {})

    def execute_order(self, order):
        kind = order["op"]
        if kind == "stage":
            self.entry["staged"] = [order["model"]]
            self.publish()
            return 202
        key = (order["group"], order["epoch"])
        group = self.entry.get("group")
        if kind == "join":
            if group and (group["name"], group["epoch"]) == key:
                return 200
            self.entry["models"] = [{"name": order["model"], "version": 1}]
            self.entry["group"] = {
                "name": key[0], "epoch": key[1], "state": "joining",
                "rank": order["members"].index(self.name)}
            self.publish()
            threading.Timer(
                JOIN_SECONDS, self.set_group_state, (key, "ready")).start()
            return 202
        if not group or (group["name"], group["epoch"]) != key:
            return 409
        if kind == "leave":
            self.entry.pop("group")
            self.publish()
            return 200
        if kind == "open" and group["state"] == "joining":
            return 409
        self.set_group_state(key, {"open": "open", "close": "ready"}[kind])
        return 202

    def set_group_state(self, key, state):
        with self.lock:
            group = self.entry.get("group")
            if group and (group["name"], group["epoch"]) == key:
                self.entry["group"] = {**group, "state": state}
                self.publish()

    def is_open_head(self):
        group = self.entry.get("group")
        return bool(group) and group["rank"] == 0 and group["state"] == "open"

    def serve(self, handler, _body):
        if not self.is_open_head():
            handler.work.end("rejected")
            handler.answer(503, {}, [("X-Not-Executed", "1")])
            return
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        if self.crash_on_part(handler):
            return
        self.stream(handler, first)

    def stream(self, handler, first):
        """Sends the events from the first one on."""
        with self.lock:
            self.streams += 1
            unframed = self.unframed_streams > 0
            self.unframed_streams -= 1 if unframed else 0
        handler.send_response(200)
        for name, value in self.seal_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        if unframed:
            handler.send_header("Connection", "close")
            handler.end_headers()
            self.send_unframed(handler, first)
            return
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        self.open_streams.add(handler)
        try:
            for number in range(first, self.EVENTS + 1):
                if number == self.crash_at_event:
                    self.crash(handler)
                    return
                event = self.event(number)
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                self.wait_after_event(handler, number)
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.leave(handler)
            handler.close_connection = True
        finally:
            self.open_streams.discard(handler)

    def crash_on_part(self, handler):
        """Crashes as it begins to write if the prompt has such a part."""
        prompt_parts = handler.headers.get("X-Prompt-Prefix", "")
        part = next((p for p in self.crashing_parts
                     if p.matches(prompt_parts)), None)
        if part is None:
            return False
        part.arrivals.append((handler.headers["X-Request-Id"],
                              time.monotonic()))
        handler.send_response(200)
        for name, value in self.seal_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        time.sleep(CRASH_SECONDS)
        with self.lock:
            first, self.crashed = not self.crashed, True
        if first:
            part.crashes.append(time.monotonic())
        self.crash(handler)
        return True

    def leave(self, handler):
        handler.work.end("left")
        self.disconnected_requests.append(handler.headers["X-Request-Id"])

    def wait_after_event(self, _handler, _number):
        time.sleep(self.event_seconds)

    def event(self, number):
        return f"id: {number}\ndata: piece {number}\n\n".encode()

    def send_unframed(self, handler, first):
        handler.close_connection = True
        try:
            for number in range(first, self.EVENTS + 1):
                if number == self.truncate_at_event:
                    handler.work.end("broke_off")
                    handler.wfile.write(self.event(number)[:9])
                    return
                handler.wfile.write(self.event(number))
                self.wait_after_event(handler, number)
        except OSError:
            self.leave(handler)

    def crash(self, handler):
        """Simulates a crash in the middle of an event: resets the connection,
        closes the listener and removes the entry of the worker."""
        handler.work.end("broke_off", "fall")
        try:
            handler.wfile.write(b"a\r\nid: ")
        except OSError:
            # The daemon has closed the connection already.
            pass
        for stream in list(self.open_streams):
            stream.work.end("broke_off", "fall")
            try:
                stream.connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its caller has closed it.
                pass
        handler.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        handler.close_connection = True
        handler.connection.close()
        self.server.socket.close()
        self.store.remove("servers", self.name)


def daemon_ports():
    """Returns the ports of the daemons of a session. Each daemon has its own
    loopback address in place of a host, so all use the same ports. The port
    after that of the peers is for detours."""
    peer = free_port(2)
    ports = {"peer": peer}
    for key in ("caller", "ready", "directory", "metrics"):
        port = peer + 1
        while port in (peer, peer + 1, *ports.values()):
            port = free_port()
        ports[key] = port
    return ports


class EntryDaemon:
    """A monsoondockd --entry process; its log is written to a file."""

    def __init__(self, session, store, name, zone, ip, ports, seeds=(),
                 first_start=True, platform_address=None, grace="6s",
                 links=None):
        self.name = name
        self.ip = ip
        self.ports = ports
        addresses = "".join(
            f'{key}_address = "{ip}:{port}"\n'
            for key, port in self.ports.items())
        listed = ", ".join(f'"{s}"' for s in seeds)
        config = session.write_file(f"{name}.toml", (
            f'daemon = "{name}"\nregion = "r"\ndata_centre = "{zone}"\n'
            f"{addresses}seed_hosts = [{listed}]\n"
            f'platform_address = "{platform_address or store.server.address}"\n'
            f'first_start = {str(first_start).lower()}\ngrace = "{grace}"\n'
            'directory_ttl = "500ms"\n[retries]\nratio = 0.2\nslack = 100\n'))
        self.stdout = session.scratch_path(f"{name}.stdout")
        self.log = pathlib.Path(session.scratch_path(f"{name}.stderr"))
        self.popen = subprocess.Popen(
            [str(links.program if links else session.bin / "monsoondockd"),
             "--entry", "--config", str(config)],
            stdout=open(self.stdout, "wb"), stderr=open(self.log, "wb"),
            env=links.environment() if links else None)
        session.processes[f"{name}.{self.popen.pid}"] = self

    def address(self, key):
        return f"{self.ip}:{self.ports[key]}"

    def stdout_text(self):
        return pathlib.Path(self.stdout).read_text()


def configuration(version, keys, routes=("chat", "payout", "status"),
                  timeout_ms=4000, step_ms=4.0):
    """Returns the operators' configuration, with up to three routes and two
    services."""
    fields = {
        "chat": {"path_prefix": "/chat/", "route_type": "streaming",
                 "stream_resume": True, "service": "llm",
                 "gap_aim_ms": 200},
        "payout": {"path_prefix": "/payout/", "route_type": "non_idempotent",
                   "service": "ledger", "attempts": 1},
        "status": {"path_prefix": "/status/", "route_type": "idempotent",
                   "service": "ledger"}}
    return {
        "version": version,
        "routes": [{"name": name, "host": "sheds.example", "priority": 1,
                    "timeout_ms": timeout_ms, "target_latency_ms": 400,
                    "attempts": 2, "public": False, **fields[name]}
                   for name in routes],
        "services": [
            {"name": "llm", "health_path": "/health", "max_conns": 50,
             "engine": {
                 "slots": 4, "kv_capacity_tokens": 100000, "step_ms": step_ms,
                 "per_seq_ms": 0.1, "read_per_s": 45900.0, "chunk": 2048,
                 "stride": 5, "loads_per_s": 5.0, "loads_at_once": 7,
                 "keeps": 1, "form_ms": 50.0,
                 "models": [{"name": "m1", "size": 2, "share": 1.0,
                             "pace": 0.6, "load_s": 1.0, "warm_s": 0.1}]}},
            {"name": "ledger", "health_path": "/health", "max_conns": 50}],
        "limits": {"idle_timeout_ms": 15000},
        "tenants": [{"name": "shed-1", "api_keys": list(keys)}]}

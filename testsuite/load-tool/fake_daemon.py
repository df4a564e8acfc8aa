"""A fake daemon that serves the caller API. The API key of a request selects
whether its response is correct or which fault it has:

crossed     answers another prompt, or counts a second run of a payout
short       omits the last token
unfinished  ends a stream without finish_reason stop and [DONE]
cut         closes a stream before the end of its chunked body
refused     answers 429 not_run, but counts a run of a payout
"""

import http.server
import json
import threading
import zlib


def token(prompt, position):
    digest = zlib.crc32(f"{prompt}#{position}".encode())
    return f"w{position}-{digest:08x} "


def chunk(text, reason):
    delta = {"content": text} if text else {}
    return "data: " + json.dumps(
        {"id": "x", "object": "chat.completion.chunk", "choices": [
            {"index": 0, "delta": delta, "finish_reason": reason}]}) + "\n\n"


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def log_message(self, *arguments):
        pass

    def setup(self):
        super().setup()
        self.server.connections += 1

    def mode(self):
        return self.headers["Authorization"].removeprefix("Bearer ")

    def answer(self, status, text, **headers):
        data = text.encode()
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", len(data))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        if self.path == "/standin/runs":
            self.answer(200, json.dumps(self.server.runs))
            return
        own = "%s:%d" % self.server.server_address
        # Nothing listens on the first address: callers must try the next one.
        hosts = [self.server.closed_address, own]
        self.answer(200, json.dumps({"hosts": hosts, "ttl_ms": 60000}))

    def do_POST(self):
        size = int(self.headers["Content-Length"])
        body = self.rfile.read(size).decode()
        if self.mode() == "refused":
            self.refuse()
        elif self.path.startswith("/services/"):
            self.call(body)
        else:
            self.complete(json.loads(body))

    def refuse(self):
        key = self.headers["Idempotency-Key"]
        if key:
            self.server.runs[key] = 1
        problem = {"type": "limit", "run": "not_run", "retry_after_ms": 900}
        self.answer(429, json.dumps(problem), Retry_After="1")

    def call(self, body):
        key = self.headers["Idempotency-Key"]
        runs = self.server.runs
        first = runs.setdefault(key, 1)
        if self.mode() == "crossed":
            runs[key] = 2
        self.answer(200, json.dumps({"key": key, "run": first, "echo": body}))

    def complete(self, body):
        prompt = body["messages"][-1]["content"]
        if self.mode() == "crossed":
            prompt = "another prompt"
        tokens = [token(prompt, i) for i in range(body["max_tokens"])]
        if self.mode() == "short":
            tokens.pop()
        if not body["stream"]:
            self.answer_whole("".join(tokens))
            return
        events = [chunk(t, None) for t in tokens]
        if self.mode() != "unfinished":
            events += [chunk("", "stop"), "data: [DONE]\n\n"]
        self.stream(events)

    def answer_whole(self, text):
        choice = {"message": {"content": text}, "finish_reason": "stop"}
        self.answer(200, json.dumps({"choices": [choice]}))

    def stream(self, events):
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for event in events:
            data = event.encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        if self.mode() == "cut":
            self.close_connection = True
            return
        self.wfile.write(b"0\r\n\r\n")


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    # As many as the load tool opens before a busy machine accepts one. With a
    # full queue, connections wait for retransmissions of the kernel.
    request_queue_size = 1024


def start(closed_address):
    """Starts the server in a background thread and returns it."""
    server = Server(("127.0.0.1", 0), Handler)
    server.closed_address = closed_address
    server.runs = {}
    server.connections = 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server

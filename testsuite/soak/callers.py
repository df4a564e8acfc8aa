"""Callers of the soak: some open a connection for each request, others keep
theirs and use it until the daemon closes it or is gone."""

import http.client
import random
import select
import socket
import time
import zlib

from lost_requests import Call
from soak_workers import SECONDS_PER_TOKEN

STREAM_SECONDS = (0.25, 4.0)
DEADLINE_SECONDS = (5.0, 8.0)
# A caller waits this much longer than it tells the daemon.
TIMEOUT_MARGIN_SECONDS = 3
# The longest pause inside a request that is sent in two halves.
HALF_PAUSE_SECONDS = 1.0
SPLIT_SHARE = 0.25
THINK_SECONDS = 0.3
# Time before the next request after one that was not served.
RETRY_SECONDS = 0.03
# Weights of the kinds of requests.
KINDS = {"chat": 4, "payout": 1, "status": 1}
# Parts of prompts that many requests share.
DOCUMENTS = 5


def prompt_parts(request_id):
    """Returns a part that all requests have, one of a few, and one of its
    own."""
    number = zlib.crc32(request_id.encode())
    return f"a1:40,c{number % DOCUMENTS}:40,{number:x}:20"


def header_lines(request_id, deadline_seconds, body, token_counts):
    lines = ["Host: sheds.example", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {round(deadline_seconds * 1000)}",
             "Authorization: Bearer k1", f"Content-Length: {len(body)}"]
    if token_counts:
        lines += ["X-Model-Name: m1", f"X-Token-Counts: {token_counts}",
                  f"X-Prompt-Prefix: {prompt_parts(request_id)}"]
    return lines


def receive(connection, call):
    """Returns the answer with its body, and notes the outcome of the call."""
    answer = http.client.HTTPResponse(connection, method="POST")
    try:
        call.outcome = "unanswered"
        answer.begin()
        call.outcome = "cut"
        body = answer.read()
        call.outcome = "whole"
        return answer, body.decode()
    except http.client.RemoteDisconnected:
        raise
    except http.client.HTTPException:
        # A part of the head, or of the body.
        call.outcome = "cut"
        raise
    except TimeoutError:
        call.outcome = "timeout"
        raise
    finally:
        call.ended = time.monotonic()
        answer.close()


def has_ended(connection):
    """Returns whether the other end has closed an idle connection."""
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


class Caller:
    """Sends requests one after another until the run ends."""

    def __init__(self, soak_run, name, keeps):
        self.run_ = soak_run
        self.name = name
        self.keeps = keeps
        self.random = random.Random(f"{soak_run.seed}-{name}")
        self.daemon = self.random.randrange(soak_run.DAEMONS)
        self.connection = None
        # Requests that the connection has carried.
        self.used = 0

    def run(self):
        count = 0
        while self.run_.running:
            count += 1
            try:
                self.send_one(f"{self.name}-{count}")
            except (OSError, http.client.HTTPException):
                self.close()
                time.sleep(RETRY_SECONDS)
            if self.keeps:
                time.sleep(self.random.choice(
                    [0, self.random.uniform(0, THINK_SECONDS)]))
        self.close()

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def connect(self):
        """Connects to the same daemon as long as it serves."""
        if self.connection is not None and has_ended(self.connection):
            self.close()
        if self.connection is not None:
            return
        if not self.keeps:
            self.daemon = self.random.randrange(self.run_.DAEMONS)
        address = self.run_.daemons[self.daemon].address("caller")
        host, port = address.rsplit(":", 1)
        try:
            self.connection = socket.create_connection(
                (host, int(port)), timeout=TIMEOUT_MARGIN_SECONDS)
        except OSError:
            self.daemon = self.random.randrange(self.run_.DAEMONS)
            raise
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.used = 0

    def send_one(self, name):
        self.connect()
        kind = self.random.choices(*zip(*KINDS.items()))[0]
        if kind == "chat":
            tokens = round(
                self.random.uniform(*STREAM_SECONDS) / SECONDS_PER_TOKEN)
            self.chat(f"c{name}", f"100,{tokens}")
        elif kind == "payout":
            self.pay(f"p{name}")
        else:
            self.ask_status(f"s{name}")

    def exchange(
            self, kind, target, request_id, body="", token_counts=None):
        """Sends a request and returns its answer and the text of that."""
        deadline = self.random.uniform(*DEADLINE_SECONDS)
        lines = header_lines(request_id, deadline, body, token_counts)
        data = "\r\n".join(
            [f"{target} HTTP/1.1", *lines, "", body]).encode()
        call = Call(request_id, kind, self.daemon, deadline, self.used > 0,
                    time.monotonic())
        self.run_.calls.append(call)
        self.connection.settimeout(deadline + TIMEOUT_MARGIN_SECONDS)
        self.used += 1
        if self.random.random() < SPLIT_SHARE:
            half = self.random.randrange(1, len(data))
            self.connection.sendall(data[:half])
            time.sleep(self.random.uniform(0, HALF_PAUSE_SECONDS))
            self.connection.sendall(data[half:])
        else:
            self.connection.sendall(data)
        call.sent = time.monotonic()
        answer, text = receive(self.connection, call)
        call.status = answer.status
        call.text = text
        if answer.will_close or not self.keeps:
            self.close()
        if answer.status != 200:
            if answer.will_close:
                self.daemon = self.random.randrange(self.run_.DAEMONS)
            time.sleep(RETRY_SECONDS)
        return answer, text

    def chat(self, request_id, token_counts):
        answer, text = self.exchange(
            "chat", "POST /chat/1", request_id,
            request_id if self.keeps else "", token_counts)
        # Equal requests may be rejected when three hosts were lost under them.
        if self.keeps and "request_crashes_upstreams" in text:
            self.run_.record_violation(
                f"{request_id}: rejected as one that crashes upstreams")
        if answer.status == 200:
            self.check_seal(request_id, answer)

    def pay(self, request_id):
        answer, _ = self.exchange(
            "payout", "POST /payout/1", request_id, request_id)
        if answer.status in self.run_.NOT_RUN:
            self.run_.refused.add(request_id)
        if answer.status == 200:
            self.check_seal(request_id, answer)

    def ask_status(self, request_id):
        """Sends a request that may be repeated."""
        answer, _ = self.exchange("status", "GET /status/1", request_id)
        if answer.status == 200:
            self.check_seal(request_id, answer)

    def check_seal(self, request_id, answer):
        with self.run_.lock:
            self.run_.served += 1
        if answer.headers.get("x-request-id") != request_id:
            self.run_.record_violation(
                f"{request_id}: answer of another request")
        if "x-response-seal" not in answer.headers:
            self.run_.record_violation(f"{request_id}: success without a seal")

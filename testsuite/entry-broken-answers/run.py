"""Answers with a broken head on the users' platform: what may be repeated is
answered by another worker, what may not is answered 502, no byte of the broken
answer reaches a caller, its connection is not used again, and the log names
the reason. Unusual answers that are valid go on unchanged."""

import re
import socket

from entry_calls import chat, event_ids, serves
from session import Session, wait_until
from users_platform import (
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration,
    daemon_ports)

# Status, field lines, and trailers of a body in chunks.
BROKEN_ANSWERS = (
    ("status 000", b"000 X", b"", None),
    ("status 099", b"099 X", b"", None),
    ("status 600", b"600 X", b"", None),
    ("status 000 that claims not to have run", b"000 X",
     b"X-Not-Executed: 1\r\nRetry-After: 1\r\n", None),
    ("blank in a name", b"200 OK", b"X Name: a\r\n", None),
    ("blank after a name", b"200 OK", b"X-Name : a\r\n", None),
    ("blank before a name", b"200 OK", b" X-Name: a\r\n", None),
    ("tab before a name", b"200 OK", b"\tX-Name: a\r\n", None),
    ("control byte in a name", b"200 OK", b"X-Na\x01me: a\r\n", None),
    ("byte over 127 in a name", b"200 OK", b"X-Na\xe9me: a\r\n", None),
    ("blank in the name of a trailer", b"200 OK", b"", b"X Name: a\r\n"),
    ("blank before the name of a trailer", b"200 OK", b"",
     b"X-Field: a\r\n X-Name: a\r\n"))

VALID_ANSWERS = (
    ("no reason phrase", b"", b"200 ", b""),
    ("status 299", b"", b"299 Unusual", b""),
    ("status 599", b"", b"599 Unusual", b""),
    ("every character of a name", b"", b"200 OK",
     b"!#$%&'*+-.^_`|~0123456789aZ: a\r\n"),
    ("103 before it", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
     b"200 OK", b""),
    ("199 before it", b"HTTP/1.1 199 Unusual\r\n\r\n", b"200 OK", b""))


def make_answer(status, fields, trailers, body, content_type):
    head = (b"HTTP/1.1 " + status + b"\r\nX-Request-Id: $ID\r\n"
            b"X-Response-Seal: $SEAL\r\nContent-Type: " + content_type +
            b"\r\n")
    if trailers is None:
        return (head + fields + b"Content-Length: %d\r\n\r\n" % len(body) +
                body)
    return (head + fields + b"Transfer-Encoding: chunked\r\n\r\n" +
            b"%x\r\n%s\r\n0\r\n" % (len(body), body) + trailers + b"\r\n")


def exchange(daemon, request_id, method, path, body):
    """Sends a request and returns all bytes of the response."""
    text = (f"{method} {path} HTTP/1.1\r\nHost: sheds.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 3500\r\n"
            "Authorization: Bearer k1\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}")
    host, port = daemon.address("caller").split(":")
    with socket.create_connection((host, int(port)), timeout=15) as caller:
        caller.sendall(text.encode())
        received = b""
        while part := caller.recv(65536):
            received += part
    return received


def summary(response):
    """Returns the status line, and the body if it comes from a worker."""
    head, _, body = response.partition(b"\r\n\r\n")
    status = head.split(b"\r\n")[0].decode()
    return f"{status}, {body.decode()}" if b"seal-" in head else status


class Test:
    """A daemon before two ledgers and two groups."""

    def __init__(self, session):
        self.session = session
        store = Store()
        store.put("config", "main", configuration(3, ["k1"]))
        self.engines = [EngineWorker(store, f"e{i}", "llm", "z1", f"d{i // 2}")
                        for i in range(4)]
        self.ledgers = [PlainWorker(store, f"l{i}", "ledger", "z1")
                        for i in range(2)]
        # The next answer of a kind of worker, whichever sends it.
        self.raw_ledger_answers = []
        self.raw_streams = []
        for workers, answers in ((self.engines, self.raw_streams),
                                 (self.ledgers, self.raw_ledger_answers)):
            for worker in workers:
                worker.raw_answers = answers
        self.daemon = EntryDaemon(
            session, store, "a", "z1", "127.0.0.1", daemon_ports())
        wait_until(lambda: serves(self.daemon) and
                   sum(e.is_open_head() for e in self.engines) == 2,
                   "two open groups")

    def arrivals(self):
        return [a for worker in (*self.ledgers, *self.engines)
                for a in worker.arrivals]

    def sends(self, request_id):
        return sum(known == request_id for known, *_ in self.arrivals())

    def last_on_broken_connection(self, request_id):
        """Returns the last request on the connection over which the broken
        answer to this one came."""
        broken = next(address for known, address, is_raw in self.arrivals()
                      if known == request_id and is_raw)
        return [known for known, address, _ in self.arrivals()
                if address == broken][-1]

    def reasons(self, request_id):
        """Returns the reasons for which tries of the request were lost."""
        return re.findall(
            rf"event=try request={request_id} .*outcome=lost .*? "
            r"reason=(\S+)", self.daemon.stdout_text())

    def lost(self, label, request_id, result):
        """Returns what became of a request that got a broken answer."""
        wait_until(lambda: self.reasons(request_id), f"reason of {request_id}")
        return (f"  {label}: {result}; sends {self.sends(request_id)}, "
                f"reason {' '.join(self.reasons(request_id))}")

    def show_lost_call(self, label, request_id, response):
        closed = self.last_on_broken_connection(request_id) == request_id
        self.session.say(
            self.lost(label, request_id, summary(response)) +
            f", connection {'closed' if closed else 'used again'}")

    def show_broken(self, number, label, status, fields, trailers):
        self.session.say(label)
        answer = make_answer(
            status, fields, trailers, b"broken", b"application/json")
        # Paths differ: a request that fails everywhere is suspected of
        # crashing workers.
        self.raw_ledger_answers.append(answer)
        read = exchange(
            self.daemon, f"get-{number}", "GET", f"/status/{number}", "")
        self.raw_ledger_answers.append(answer)
        paid = exchange(
            self.daemon, f"pay-{number}", "POST", f"/payout/{number}", "5")
        # They would come over the connections of the broken answers.
        for i in range(4):
            exchange(self.daemon, f"after-{number}-{i}", "GET",
                     f"/status/after-{number}-{i}", "")
        self.show_lost_call("read", f"get-{number}", read)
        self.show_lost_call("payout", f"pay-{number}", paid)
        if trailers is not None:
            return
        self.raw_streams.append(make_answer(
            status, fields, None, b"id: 1\ndata: broken\n\n",
            b"text/event-stream"))
        answer = chat(self.daemon, f"chat-{number}",
                      **{"X-Prompt-Prefix": f"{number + 1:x}:100"})
        self.session.say(self.lost(
            "stream", f"chat-{number}",
            f"{answer.status}, events {' '.join(event_ids(answer.text()))}"
            f"{', broken' if 'broken' in answer.text() else ''}"))

    def show_valid(self, number, label, before, status, fields):
        answer = before + make_answer(
            status, fields, None, b"whole", b"application/json")
        self.raw_ledger_answers.append(answer)
        paid = exchange(
            self.daemon, f"ok-{number}", "POST", f"/payout/ok-{number}", "5")
        line = fields.strip().decode()
        field = line if line and line in paid.decode() else "none"
        self.session.say(f"{label}: {summary(paid)}; sends "
                         f"{self.sends(f'ok-{number}')}, field {field}")


def main():
    with Session() as session:
        test = Test(session)
        for number, case in enumerate(BROKEN_ANSWERS):
            test.show_broken(number, *case)
        session.say("valid answers")
        for number, case in enumerate(VALID_ANSWERS):
            test.show_valid(number, *case)


if __name__ == "__main__":
    main()

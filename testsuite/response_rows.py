"""Ways in which a worker ends a response: framing x end x moment x kind of
request, and second answers; and the bytes that it writes."""

import dataclasses
import itertools

FRAMINGS = ("length", "chunks", "none", "http_1_0")
ENDS = ("close", "reset", "kill", "silence")
KINDS = ("idempotent", "once", "stream", "resumable")
STREAM_KINDS = ("stream", "resumable")
ROUTES = {"idempotent": ("GET", "/status/"), "once": ("POST", "/payout/"),
          "stream": ("POST", "/talk/"), "resumable": ("POST", "/chat/")}

EVENTS = 8
BODY_BYTES = 602
SENT_EVENTS = 4
SENT_BYTES = 400
# Beyond the times after which a silent try is replaced.
REPLACED_SECONDS = 0.9
REPLACEMENT_SECONDS = 1.5


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n"


def events(first, last):
    return "".join(event(n) for n in range(first, last + 1))


def whole_body(kind, request_id):
    if kind in STREAM_KINDS:
        return events(1, EVENTS)
    return f"{request_id}:".ljust(BODY_BYTES, "b")


def head(worker, request_id, framing, stream, length):
    version = "1.0" if framing == "http_1_0" else "1.1"
    kind = "text/event-stream" if stream else "application/json"
    text = (f"HTTP/{version} 200 OK\r\nX-Request-Id: {request_id}\r\n"
            f"X-Response-Seal: seal-{worker}\r\nContent-Type: {kind}\r\n")
    if framing == "length":
        text += f"Content-Length: {length}\r\n"
    elif framing == "chunks":
        text += "Transfer-Encoding: chunked\r\n"
    return text + "\r\n"


def framed(framing, text):
    if framing != "chunks":
        return text
    return f"{len(text):x}\r\n{text}\r\n"


def whole_answer(worker, request_id, framing, kind, first=1):
    stream = kind in STREAM_KINDS
    body = (events(first, EVENTS) if stream
            else whole_body(kind, request_id))
    text = (head(worker, request_id, framing, stream, len(body)) +
            framed(framing, body))
    return text + ("0\r\n\r\n" if framing == "chunks" else "")


@dataclasses.dataclass(frozen=True)
class Row:
    """A way to end a response. The moment is one of: in an event, between two
    events, in half of a body, while the request is written, behind a replaced
    try, over a detour."""
    framing: str
    end: str
    moment: str
    kind: str

    def name(self):
        return f"{self.framing}, {self.end}, {self.moment}, {self.kind}"

    def is_stream(self):
        return self.kind in STREAM_KINDS

    def part(self, request_id):
        """Returns the part of the body that the worker sends."""
        if not self.is_stream():
            return whole_body(self.kind, request_id)[:SENT_BYTES]
        text = events(1, SENT_EVENTS)
        return text + (event(SENT_EVENTS + 1)[:14]
                       if self.moment == "in an event" else "")

    def tries(self, request_id):
        """Returns the steps of the tries; later tries are answered whole."""
        def first(worker):
            body = whole_body(self.kind, request_id)
            steps = [["send", head(worker, request_id, self.framing,
                                   self.is_stream(), len(body)) +
                      framed(self.framing, self.part(request_id))]]
            if self.moment == "behind a replaced try":
                steps.append(["wait", REPLACED_SECONDS])
            return [*steps, [self.end]]

        def replacement(_worker):
            return [["wait", REPLACEMENT_SECONDS], ["reset"]]

        if self.moment == "behind a replaced try":
            return [first, replacement]
        return [first]

    def outcome(self):
        """Returns what becomes of the response: "whole", from another worker if
        need be; "as closed", the part that a live worker ended in order; or
        "not complete"."""
        if self.may_look_complete("") is not None:
            return "as closed"
        repeatable = self.kind in ("idempotent", "resumable")
        # A silent worker may be given up only at the deadline.
        if repeatable and self.moment != "behind a replaced try" and (
                self.end != "silence"):
            return "whole"
        return "not complete"

    def may_look_complete(self, request_id):
        """Returns the body that may look complete although it is not whole: a
        live worker that closes in order says that this is all. With a part of
        the request unread, its kernel resets the connection."""
        if self.end == "close" and self.framing in ("none", "http_1_0") and (
                self.moment not in ("in an event",
                                    "while the request is written")):
            return self.part(request_id)
        return None


def all_rows():
    for framing, end, kind in itertools.product(FRAMINGS, ENDS, KINDS):
        moments = (["in an event", "between two events"]
                   if kind in STREAM_KINDS else ["in half of a body"])
        if kind in ("idempotent", "resumable"):
            moments.append("behind a replaced try")
        if kind != "idempotent":
            moments.append("while the request is written")
        moments.append("over a detour")
        for moment in moments:
            # A silent worker that is replaced is of the other moments.
            if end != "silence" or moment != "behind a replaced try":
                yield Row(framing, end, moment, kind)


@dataclasses.dataclass(frozen=True)
class SecondAnswer:
    """A worker that answers twice on one connection: at once or late, in full
    or cut short, with the id of the request or another one."""
    framing: str
    kind: str
    late: bool
    short: bool
    other_id: str

    def name(self):
        return ", ".join([
            self.framing, self.kind, "late" if self.late else "at once",
            "short" if self.short else "whole",
            "other id" if self.other_id else "same id"])


def second_answers():
    for values in itertools.product(FRAMINGS, KINDS, (False, True),
                                    (False, True), ("", "q-0")):
        yield SecondAnswer(*values)

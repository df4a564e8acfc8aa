"""Bad input from callers: each is refused with a specific error in bounded
time, and the daemon continues to serve others."""

import json
import socket

from cluster import Cluster, bearer
from session import Session, chat, request

COMPLETIONS = "/v1/chat/completions"
ANSWER_TIMEOUT_SECONDS = 20


def send_raw(address, data, close_early=False):
    """Sends bytes and returns everything received until the daemon closes the
    connection."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)),
                                  ANSWER_TIMEOUT_SECONDS) as connection:
        try:
            connection.sendall(data)
        except ConnectionError:
            # The daemon closed the connection before it had read everything.
            pass
        if close_early:
            return b""
        parts = []
        try:
            while part := connection.recv(65536):
                parts.append(part)
        except ConnectionError:
            pass
        return b"".join(parts)


def refusal_of(raw):
    """Returns the status and the problem type of the first answer in raw."""
    if not raw:
        return "closed without an answer"
    head, _, body = raw.partition(b"\r\n\r\n")
    status = head.split(b" ")[1].decode()
    try:
        problem = json.JSONDecoder().raw_decode(body.decode())[0]
    except json.JSONDecodeError:
        return f"{status} (no problem JSON)"
    return f"{status} {problem['type']} {problem['run']}"


def show_raw(session, label, address, data):
    session.say(f"{label}: {refusal_of(send_raw(address, data))}")


def show_chat(session, label, address, body, headers=None, method="POST"):
    answer = request(address, method, COMPLETIONS, body,
                     bearer("sheds-central") if headers is None else headers)
    problem = answer.json()
    session.say(f"{label}: {answer.status} {problem['type']} "
                f"{problem['run']}: {problem['detail']}")


def head(path, *fields):
    lines = [f"POST {path} HTTP/1.1", "Host: x", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def main():
    with Session() as session:
        cluster = Cluster(session, hosts=0, read_timeout="300ms")
        cluster.start_upstreams()
        address = cluster.start_daemon("heredia-1")
        key = bearer("sheds-central")

        session.say("== request parameters")
        show_chat(session, "no key", address, chat("x"), {})
        show_chat(session, "wrong key", address, chat("x"),
                  {"Authorization": "Bearer nobody"})
        show_chat(session, "unknown model", address,
                  chat("x", model="no-such-model"))
        show_chat(session, "wrong method", address, None, method="GET")
        show_chat(session, "no group", address, chat("x", model="copal-llm"))
        show_chat(session, "priority", address, chat("x"),
                  {**key, "X-Priority": "urgent"})
        show_chat(session, "deadline", address, chat("x"),
                  {**key, "X-Deadline-Ms": "soon"})

        session.say("== bodies")
        show_chat(session, "not JSON", address, "{\"model\": ")
        show_chat(session, "not an object", address, "[1, 2]")
        show_chat(session, "deep nesting", address, "[" * 100000)
        show_chat(session, "no model", address, {"messages": []})
        show_chat(session, "no message", address,
                  {"model": "copal-llm", "messages": []})
        show_chat(session, "stream is no boolean", address,
                  {**chat("x", model="copal-llm"), "stream": "yes"})

        session.say("== HTTP")
        show_raw(session, "not HTTP", address, b"\x16\x03\x01\x02\x00\r\n\r\n")
        show_raw(session, "bad version", address,
                 b"GET / HTTP/9.9\r\nHost: x\r\n\r\n")
        show_raw(session, "header flood", address,
                 head("/", *(f"X-{i}: {'a' * 100}" for i in range(5000))))
        show_raw(session, "body too large", address,
                 head(COMPLETIONS, "Content-Length: 999999999999"))
        show_raw(session, "bad length", address,
                 head(COMPLETIONS, "Content-Length: many"))
        show_raw(session, "slow head", address, b"POST / HTTP/1.1\r\nHost:")
        show_raw(session, "slow body", address,
                 head(COMPLETIONS, "Content-Length: 10") + b"{")
        send_raw(address, head(COMPLETIONS, "Content-Length: 10"), True)
        session.say("half a request, then closed: nothing to answer")

        session.say("== pipelined requests are answered in order")
        token = key["Authorization"]
        both = (f"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: {token}"
                "\r\n\r\nGET /nowhere HTTP/1.1\r\nHost: x\r\nAuthorization: "
                f"{token}\r\nConnection: close\r\n\r\n").encode()
        raw = send_raw(address, both)
        first, second = raw.find(b"copal-llm"), raw.find(b"unknown_path")
        session.say(f"both answered in order: {0 < first < second}")

        session.say("== the daemon still serves")
        answer = request(address, "GET", "/healthz")
        session.say(f"health: {answer.status} {answer.text().strip()}")


main()

"""A request that is carried in the body of another one. See claim.txt."""

import socket
import sys
import time

sys.path.insert(0, "..")
from common import STABLE_SECONDS, TROUBLE, Daemon, run_case  # noqa: E402
from entry_calls import is_ready, status  # noqa: E402
from session import wait_until  # noqa: E402
from users_platform import (  # noqa: E402
    PlainWorker, Store, configuration, daemon_ports)

CODINGS = ["gzip", "identity", "chunked, identity", "xchunked"]
# What somebody wrote into a form; the consumer sends it as the body of its own
# request.
TEXT = (b"POST /payout/9 HTTP/1.1\r\nHost: sheds.example\r\n"
        b"X-Request-Id: inside-%d\r\nX-Deadline-Ms: 1500\r\n"
        b"Authorization: Bearer k1\r\nContent-Length: 7\r\n\r\npay 900")


def ask(daemon, number, framing, record):
    """Sends one request on a channel of its own and returns all bytes that come
    back within a second."""
    host, port = daemon.address("caller").split(":")
    with socket.create_connection((host, int(port)), timeout=1) as channel:
        channel.sendall(
            b"POST /payout/1 HTTP/1.1\r\nHost: sheds.example\r\n"
            b"X-Request-Id: sent-%d\r\nX-Deadline-Ms: 1500\r\n"
            b"Authorization: Bearer k1\r\n%s\r\n\r\n%s"
            % (number, framing, TEXT % number))
        record(f"sent one request, sent-{number}, with {framing.decode()!r}")
        received = b""
        try:
            while data := channel.recv(4096):
                received += data
        except OSError:
            pass
    answers = [a.split(b"\r\n")[0].decode()
               for a in received.split(b"HTTP/1.1 ")[1:]]
    record(f"answers on that channel: {answers}")


def case(processes, record):
    store = Store()
    store.put("config", "main", configuration(3, ["k1"]))
    ledger = PlainWorker(store, "l1", "ledger", "z1")
    daemon = Daemon(processes, store, "a", "z1", "127.0.0.1", daemon_ports())
    wait_until(lambda: is_ready(daemon) and
               status(daemon, "warm-up").status == 200, "daemon")
    time.sleep(STABLE_SECONDS)
    broken = []
    for number, coding in enumerate(CODINGS):
        framing = (f"Transfer-Encoding: {coding}" if TROUBLE else
                   f"Content-Length: {len(TEXT % number)}").encode()
        before = len(ledger.requests)
        ask(daemon, number, framing, record)
        for request in ledger.requests[before:]:
            record(f"run by the worker: {request}")
        if ledger.runs[f"inside-{number}"]:
            broken.append(
                f"UNASKED: the worker ran inside-{number}, which no consumer "
                f"sent: it was smuggled inside sent-{number} ({coding})")
        bodies = [r[2] for r in ledger.requests[before:]
                  if r[1] == "/payout/1"]
        if any(body != (TEXT % number).decode() for body in bodies):
            broken.append(f"UNASKED: the worker ran sent-{number} with "
                          f"another body: {bodies}")
    return broken


run_case(".", case)

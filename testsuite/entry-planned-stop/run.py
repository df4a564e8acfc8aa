"""Planned stops of an entry daemon on the users' platform: what callers have
sent when the signal arrives is answered in full, whatever signals follow."""

import signal
import socket
import threading
import time

from entry_calls import chat, event_ids, is_ready, serves
from session import ConnectionDropped, Session, wait_until
from users_platform import (
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration,
    daemon_ports)

STREAMS = 6


class Caller(threading.Thread):
    """Sends a stream in the background. outcome tells how it ended."""

    def __init__(self, daemon, request_id):
        super().__init__()
        self.daemon_called = daemon
        self.request_id = request_id
        self.outcome = None
        self.start()

    def run(self):
        try:
            answer = chat(self.daemon_called, self.request_id,
                          **{"X-Deadline-Ms": "9000"})
        except ConnectionDropped as dropped:
            self.outcome = "cut" if dropped.partial else "dropped"
            return
        if answer.status != 200:
            self.outcome = "refused" if answer.status == 503 else "failed"
            return
        events = event_ids(answer.text())
        whole = len(events) == EngineWorker.EVENTS
        self.outcome = "whole" if whole else "short"


class Deployment:
    """A daemon, a group and a ledger; grace is the time between SIGTERM and the
    end of the daemon at the latest."""

    def __init__(self, session, ip, grace, event_seconds):
        self.store = Store()
        # An engine whose steps are so long that no pause is out of the usual.
        self.store.put("config", "main", configuration(
            3, ["k1"], timeout_ms=9000, step_ms=100.0))
        engines = [EngineWorker(self.store, f"e{i}", "llm", "z1", "d0")
                   for i in range(2)]
        PlainWorker(self.store, "l1", "ledger", "z1")
        self.daemon = EntryDaemon(
            session, self.store, f"a-{ip}", "z1", ip, daemon_ports(),
            grace=grace)
        wait_until(lambda: is_ready(self.daemon) and serves(self.daemon),
                   "open group")
        for engine in engines:
            engine.event_seconds = event_seconds
        self.engines = engines

    def send(self, name, count):
        """Starts streams and waits until their hosts have them."""
        before = self.streams()
        callers = [Caller(self.daemon, f"{name}-{i}") for i in range(count)]
        wait_until(lambda: self.streams() >= before + count, "the streams")
        return callers

    def streams(self):
        return sum(e.streams for e in self.engines)


def repeated_signals(session):
    session.say("== signals after SIGTERM")
    deployment = Deployment(session, "127.0.0.1", "6s", 0.1)
    callers = deployment.send("s", STREAMS)
    popen = deployment.daemon.popen
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP,
                   signal.SIGINT):
        popen.send_signal(number)
        time.sleep(0.05)
    for caller in callers:
        caller.join()
    session.say("streams: " + " ".join(c.outcome for c in callers))
    session.say(f"exit status: {popen.wait(15)}")


def half_a_request(session, ip, deadline):
    """Sends the second half of a request when callers no longer use the address
    of the daemon. Without a deadline it could outlast the daemon."""
    named = "" if deadline else ", without a deadline"
    session.say(f"== a request whose second half follows later{named}")
    deployment = Deployment(session, ip, "6s", 0.02)
    host, port = deployment.daemon.address("caller").rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as caller:
        caller.sendall(b"GET /status/1 HTTP/1.1\r\nHost: sheds.example\r\n"
                       b"X-Request-Id: half-1\r\n" + deadline)
        time.sleep(0.2)
        deployment.daemon.popen.send_signal(signal.SIGTERM)
        # Beyond the time for which callers keep the address of the daemon.
        time.sleep(1.5)
        answer = b""
        try:
            caller.sendall(b"Authorization: Bearer k1\r\n\r\n")
            while b"done" not in answer and b"stopping" not in answer:
                part = caller.recv(4096)
                if not part:
                    break
                answer += part
        except ConnectionError:
            pass
    status = answer.split(b" ")[1].decode() if answer else "none"
    session.say(f"answer: {status}, Retry-After: {b'Retry-After' in answer}")
    session.say(f"exit status: {deployment.daemon.popen.wait(15)}")


def late_request(session):
    session.say("== a stream that the daemon could not finish")
    deployment = Deployment(session, "127.0.0.3", "8s", 0.4)
    first = deployment.send("first", 1)
    deployment.daemon.popen.send_signal(signal.SIGTERM)
    time.sleep(3.2)
    late = Caller(deployment.daemon, "late")
    for caller in [*first, late]:
        caller.join()
    session.say(f"sent before SIGTERM: {first[0].outcome}")
    # Either outcome is an answer; only a cut one is not.
    answered = late.outcome in ("whole", "refused")
    session.say(f"sent 3.2 s after SIGTERM: answered: {answered}")
    session.say(f"exit status: {deployment.daemon.popen.wait(15)}")


def main():
    with Session() as session:
        repeated_signals(session)
        half_a_request(session, "127.0.0.2", b"X-Deadline-Ms: 2500\r\n")
        half_a_request(session, "127.0.0.4", b"")
        late_request(session)


if __name__ == "__main__":
    main()

"""Requests end to end on the users' platform: two entry daemons, a group of two
hosts in each of two domains, and a ledger. Injects faults that callers must not
notice, and explains one of them from the logs."""

import signal
import socket
import time

from entry_calls import call, chat, event_ids, explain, is_ready, serves
from session import Session, request, wait_until
from users_platform import (
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration,
    daemon_ports)


def main():
    with Session() as session:
        store = Store()
        store.put("config", "main", configuration(3, ["k1", "k2"]))
        engines = [EngineWorker(store, f"e{i}", "llm", "z1", f"d{i // 2}")
                   for i in range(4)]
        ledger = PlainWorker(store, "l1", "ledger", "z1")
        ports = daemon_ports()
        first = EntryDaemon(session, store, "a", "z1", "127.0.0.1", ports)
        second = EntryDaemon(session, store, "b", "z1", "127.0.0.2", ports,
                             [first.address("peer")])
        wait_until(lambda: serves(first) and serves(second), "open groups")

        def directory():
            answer = request(first.address("directory"), "GET",
                             "/resolve?name=sheds.example&region=r&zone=z1")
            return answer.json()["addresses"]

        wait_until(lambda: len(directory()) == 2, "both daemons listed")
        session.say("directory lists both daemons")

        answer = chat(first, "r-1")
        session.say(f"stream: {answer.status} events "
                    f"{' '.join(event_ids(answer.text()))}")
        answer = call(first, "r-2", "/payout/7", body="pay 5")
        session.say(f"payout: {answer.status} {answer.text()} seal "
                    f"{answer.headers['x-response-seal']}")
        session.say(f"request at the ledger: {ledger.requests[-1]}")
        session.say(f"unknown key: {call(first, 'r-3', '/payout/8', 'x').status}")
        session.say(f"unknown path: {call(first, 'r-4', '/other/').status}")
        session.say("no id: " + str(request(
            first.address("caller"), "GET", "/status/1", None,
            {"Host": "sheds.example", "Authorization": "Bearer k1"}).status))

        ledger.answers_to_drop = 1
        answer = call(first, "r-5", "/payout/9", body="pay 6")
        session.say(f"payout whose answer was lost: {answer.status}, "
                    f"runs {ledger.runs['r-5']}")

        ledger.drain()
        PlainWorker(store, "l2", "ledger", "z1")
        wait_until(lambda: call(first, "r-6", "/status/1", method="GET")
                   .headers.get("x-response-seal") == "seal-l2", "new ledger")
        session.say("status comes from the new ledger")

        disconnect(first)
        wait_until(
            lambda: any("r-7" in e.disconnected_requests for e in engines),
            "end of the stream at its engine")
        session.say("the stream of a disconnected caller ended at its engine")

        for engine in engines:
            engine.unframed_streams = 1
        answer = chat(first, "r-10")
        session.say(f"stream that ends with its connection: {answer.status} "
                    f"events {' '.join(event_ids(answer.text()))}")
        for engine in engines:
            engine.unframed_streams = 0
        broken = next(e for e in engines if e.is_open_head())
        broken.truncate_at_event = 6
        broken.unframed_streams = 1
        answer = wait_until(
            lambda: (lambda a: not broken.unframed_streams and a)(
                chat(first, f"t-{time.time_ns()}")), "the broken stream")
        session.say("the same, broken off inside an event: "
                    f"{answer.status} events "
                    f"{' '.join(event_ids(answer.text()))}")

        for engine in engines:
            if engine.is_open_head():
                engine.crash_at_event = 6
                break
        resumed = stream_until_crash(first, engines)
        session.say(f"stream of a crashed engine: {resumed[1]} events "
                    f"{' '.join(event_ids(resumed[2]))}")
        explain(session, resumed[0], [first, second],
                ["host_gone", "group_dissolving"])

        store.put("config", "main", configuration(5, ["k1"], ("chat",)))
        wait_until(lambda: call(second, "r-8", "/payout/1").status == 404,
                   "removal of the route")
        session.say("a removed route: 404")
        session.say("a revoked key: "
                    f"{call(second, 'r-9', '/chat/1', 'k2').status}")

        stop(session, first, second)


def disconnect(daemon):
    """Starts a stream and disconnects after its first bytes."""
    host, port = daemon.address("caller").split(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(
            b"POST /chat/1 HTTP/1.1\r\nHost: sheds.example\r\n"
            b"X-Request-Id: r-7\r\nX-Deadline-Ms: 3500\r\n"
            b"Authorization: Bearer k1\r\nX-Model-Name: m1\r\n"
            b"Content-Length: 0\r\n\r\n")
        caller.recv(100)


def stream_until_crash(daemon, engines):
    """Sends streams until one has reached the engine that is set to crash.
    Returns the request id, status and text of that stream."""
    crashing = [e for e in engines if e.crash_at_event][0]
    for number in range(50):
        request_id = f"s-{number}"
        answer = chat(daemon, request_id)
        if crashing.server.socket.fileno() == -1:
            return request_id, answer.status, answer.text()
    raise AssertionError("no stream reached the crashing engine")


def stop(session, first, second):
    """Checks a planned stop: the daemon is not ready, the other daemon no
    longer lists it, and its exit status is 0."""
    first.popen.send_signal(signal.SIGTERM)
    wait_until(lambda: not is_ready(first), "readiness withdrawn")

    def listed():
        return request(
            second.address("directory"), "GET",
            "/resolve?name=sheds.example&region=r&zone=z1"
        ).json()["addresses"]

    wait_until(lambda: len(listed()) == 1, "removal of the stopping daemon")
    session.say("the stopping daemon is no longer listed")
    session.say(f"exit status {first.popen.wait(20)}")
    wait_until(lambda: chat(second, f"end-{time.time_ns()}").status == 200,
               "service by the other daemon")
    session.say("the other daemon serves")


if __name__ == "__main__":
    main()

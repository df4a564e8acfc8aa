"""The whole path on the users' platform: two entry daemons, a group of two
hosts each in two domains and a ledger, with the faults that callers must not
see, and what the logs tell of one of them."""

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
        session.say(f"ledger saw: {ledger.seen[-1]}")
        session.say(f"unknown key: {call(first, 'r-3', '/payout/8', 'x').status}")
        session.say(f"unknown path: {call(first, 'r-4', '/other/').status}")
        session.say("no id: " + str(request(
            first.address("caller"), "GET", "/status/1", None,
            {"Host": "sheds.example", "Authorization": "Bearer k1"}).status))

        ledger.lose = 1
        answer = call(first, "r-5", "/payout/9", body="pay 6")
        session.say(f"payout whose answer was lost: {answer.status}, "
                    f"runs {ledger.runs['r-5']}")

        ledger.drain()
        PlainWorker(store, "l2", "ledger", "z1")
        wait_until(lambda: call(first, "r-6", "/status/1", method="GET")
                   .headers.get("x-response-seal") == "seal-l2", "new ledger")
        session.say("status comes from the new ledger")

        leave(first)
        wait_until(lambda: any("r-7" in e.left for e in engines),
                   "end of the abandoned stream")
        session.say("the abandoned stream ended at its engine")

        for engine in engines:
            if engine.is_open_head():
                engine.fall_after = 6
                break
        resumed = resume(first, engines)
        session.say(f"stream of a fallen engine: {resumed[1]} events "
                    f"{' '.join(event_ids(resumed[2]))}")
        explain(session, resumed[0], [first, second],
                ["host_gone", "group_dissolving"])

        store.put("config", "main", configuration(5, ["k1"], ("chat",)))
        wait_until(lambda: call(second, "r-8", "/payout/1").status == 404,
                   "the dropped route")
        session.say("a dropped route: 404")
        session.say("a revoked key: "
                    f"{call(second, 'r-9', '/chat/1', 'k2').status}")

        stop(session, first, second)


def leave(daemon):
    """A caller that goes away after the first bytes of its stream."""
    host, port = daemon.address("caller").split(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(
            b"POST /chat/1 HTTP/1.1\r\nHost: sheds.example\r\n"
            b"X-Request-Id: r-7\r\nX-Deadline-Ms: 3500\r\n"
            b"Authorization: Bearer k1\r\nX-Model-Name: m1\r\n"
            b"Content-Length: 0\r\n\r\n")
        caller.recv(100)


def resume(daemon, engines):
    """Sends streams until one has met the engine that falls."""
    fallen = [e for e in engines if e.fall_after][0]
    for number in range(50):
        request_id = f"s-{number}"
        answer = chat(daemon, request_id)
        if fallen.server.socket.fileno() == -1:
            return request_id, answer.status, answer.text()
    raise AssertionError("no stream met the engine")


def stop(session, first, second):
    """A planned stop: not ready, left out by the peer, exit status 0."""
    first.popen.send_signal(signal.SIGTERM)
    wait_until(lambda: not is_ready(first), "readiness withdrawn")

    def listed():
        return request(
            second.address("directory"), "GET",
            "/resolve?name=sheds.example&region=r&zone=z1"
        ).json()["addresses"]

    wait_until(lambda: len(listed()) == 1, "the stopping daemon left out")
    session.say("the stopping daemon is not listed any more")
    session.say(f"exit status {first.popen.wait(20)}")
    wait_until(lambda: chat(second, f"end-{time.time_ns()}").status == 200,
               "service by the other daemon")
    session.say("the other daemon serves")


if __name__ == "__main__":
    main()

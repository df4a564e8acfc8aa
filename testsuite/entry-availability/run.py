"""Workers that say in their answers that they are leaving, or reject a request
and ask for a pause, while the store lists them as ready."""

from entry_calls import is_ready, status, wait_until_unused
from session import Session, wait_until
from users_platform import (
    EntryDaemon, PlainWorker, Store, configuration, daemon_ports)

REQUESTS = 30


def send_all(daemons, name):
    """Sends requests to all daemons and returns the set of their statuses."""
    return {status(d, f"{name}-{i}").status
            for i in range(REQUESTS) for d in daemons}


def runs(worker):
    return sum(worker.runs.values())


def main():
    with Session() as session:
        store = Store()
        store.put("config", "main", configuration(3, ["k1"]))
        leaving, pausing, other = [
            PlainWorker(store, name, "ledger", "z1")
            for name in ("l1", "l2", "l3")]
        ports = daemon_ports()
        a = EntryDaemon(session, store, "a", "z1", "127.0.0.1", ports)
        b = EntryDaemon(session, store, "b", "z1", "127.0.0.2", ports,
                        [a.address("peer")])
        daemons = [a, b]
        wait_until(lambda: all(is_ready(d) for d in daemons), "both daemons")
        wait_until(lambda: all(
            "event=member_changed member=" in d.stdout_text()
            for d in daemons), "that the daemons know each other")

        leaving.fields = [("Server-Leaving", "1")]
        wait_until(lambda: status(a, "l").headers.get("x-response-seal")
                   == f"seal-{leaving.name}", "an answer that says so")
        wait_until(lambda: all(
            f"event=host_leaving host={leaving.name} " in d.stdout_text()
            for d in daemons), "the news at both daemons")
        leaving.publish()
        wait_until_unused(daemons, leaving)
        before = runs(leaving)
        session.say(f"with a leaving worker: {send_all(daemons, 'm')}, of "
                    f"them to that worker {runs(leaving) - before}")

        pausing.pause = 60
        wait_until(lambda: status(a, "p").status == 200 and not pausing.pause,
                   "a rejection with a pause")
        before = runs(pausing)
        session.say(f"with a paused worker: {send_all([a], 'q')}, of them to "
                    f"that worker {runs(pausing) - before}")

        other.pause = 60
        answer = wait_until(
            lambda: (lambda r: r.status == 503 and r)(status(a, "x")),
            "a refusal")
        seconds = float(answer.headers["retry-after"])
        before = runs(pausing) + runs(other)
        session.say(f"when all are paused: {send_all([a], 'y')}, told to come "
                    f"back after the pause {40 < seconds < 75}, requests to "
                    f"workers {runs(pausing) + runs(other) - before}")
        session.say(f"at the daemon that nobody rejected: {send_all([b], 'z')}")


if __name__ == "__main__":
    main()

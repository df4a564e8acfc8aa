"""Three kinds of failed request on the users' platform, each with the response
to the caller and the cause in the logs: a payout that times out with 504, a
stream that is cut when its group fails, and a refusal during an outage of the
store."""

from entry_calls import call, chat, event_ids, explain, is_ready, serves
from session import ConnectionDropped, Session, wait_until
from users_platform import (
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration,
    daemon_ports)


def cut_stream(daemon):
    """Returns the status, the ids of the events that arrived, and whether the
    stream was complete or cut."""
    try:
        answer = chat(daemon, "cut-1")
        return answer.status, event_ids(answer.text()), "complete"
    except ConnectionDropped as dropped:
        return 200, event_ids(dropped.partial.decode()), "cut"


def main():
    with Session() as session:
        store = Store()
        store.put("config", "main", configuration(3, ["k1"]))
        engines = [EngineWorker(store, f"e{i}", "llm", "z1", "d0")
                   for i in range(2)]
        ledger = PlainWorker(store, "l1", "ledger", "z1")
        daemon = EntryDaemon(
            session, store, "a", "z1", "127.0.0.1", daemon_ports())
        wait_until(lambda: is_ready(daemon) and serves(daemon), "open group")

        ledger.requests_to_hang = 1
        answer = call(daemon, "late-1", "/payout/7", body="pay 5",
                      **{"X-Deadline-Ms": "600"})
        session.say(f"payout that hangs: {answer.status}, "
                    f"runs {ledger.runs['late-1']}")
        explain(session, "late-1", [daemon])

        head = [e for e in engines if e.is_open_head()][0]
        head.crash_at_event = 6
        status, events, end = cut_stream(daemon)
        session.say(f"stream of a group that fails: {status} {end}, events "
                    f"{' '.join(events)}")
        explain(session, "cut-1", [daemon], ["host_gone", "group_dissolving"])

        store.down.set()
        wait_until(lambda: "event=store_lost" in open(daemon.stdout).read(),
                   "the loss of the store")
        answer = chat(daemon, "refused-1")
        session.say(f"stream without a group or a store: {answer.status}, "
                    f"Retry-After {'retry-after' in answer.headers}")
        explain(session, "refused-1", [daemon], ["store_lost"])
        store.down.clear()


if __name__ == "__main__":
    main()

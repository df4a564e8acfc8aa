"""The platform's store comes back from an older copy: what was written since is
gone and revisions are given out again. The daemons go on serving, follow the
changes that are made afterwards, and never go back to older knowledge."""

import re

from entry_calls import call, serves, status, wait_until_unused
from session import Session, wait_until
from users_platform import (
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration,
    daemon_ports)

# Revisions that are lost and given out again.
LOST_WRITES = 300


def seal_of(daemon, request_id):
    return status(daemon, request_id).headers.get("x-response-seal")


def wait_until_leaving(daemons, worker):
    """Waits until the daemons know that a worker leaves and send it nothing."""
    known = re.compile(f"event=host_changed host={worker.name} .*draining=yes")
    wait_until(lambda: all(known.search(d.stdout_text()) for d in daemons),
               f"the news that {worker.name} leaves")
    wait_until_unused(daemons, worker)


def main():
    with Session() as session:
        store = Store()
        store.put("config", "main", configuration(3, ["k1", "k2"]))
        engines = [EngineWorker(store, f"e{i}", "llm", "z1", "d0")
                   for i in range(4)]
        first = PlainWorker(store, "l1", "ledger", "z1")
        leaving = PlainWorker(store, "l2", "ledger", "z1")
        ports = daemon_ports()
        a = EntryDaemon(session, store, "a", "z1", "127.0.0.1", ports)
        b = EntryDaemon(session, store, "b", "z1", "127.0.0.2", ports,
                        [a.address("peer")])
        daemons = [a, b]
        wait_until(lambda: all(serves(d) for d in daemons), "open groups")

        # The copy is older than the record of the leader.
        saved = store.copy()
        lost = saved[1].pop("leaders")["placement"]["spec"]
        store.put("config", "main", configuration(5, ["k1"]))
        leaving.drain()
        for _ in range(LOST_WRITES):
            first.publish()
        wait_until(lambda: all(
            call(d, "r-1", "/status/1", "k2").status == 401
            for d in daemons), "the revoked key")
        wait_until_leaving(daemons, leaving)

        store.down.set()
        wait_until(lambda: any("event=store_lost" in d.stdout_text()
                               for d in daemons), "the loss of the store")
        store.restore(saved)
        store.down.clear()
        for worker in [*engines, first]:
            worker.publish()
        wait_until(lambda: any("event=store_restored" in d.stdout_text()
                               for d in daemons), "the change of era")
        session.say("the restored store is noticed")
        record = wait_until(lambda: store.objects["leaders"].get("placement"),
                            "the leader's record")["spec"]
        session.say("the leader's record is written again, with a new term "
                    f"{record['term'] > lost['term']} and new epochs "
                    f"{record['epochs_below'] > lost['epochs_below']}")

        before = sum(leaving.runs.values())
        states = {status(d, f"r-2-{i}").status
                  for i in range(20) for d in daemons}
        session.say(f"status while entries are written again: {states}")
        session.say("requests to the host that was leaving: "
                    f"{sum(leaving.runs.values()) - before}")
        revoked = {call(d, "r-3", "/status/1", "k2").status for d in daemons}
        session.say(f"the revoked key: {revoked}")

        store.put("config", "main", configuration(5, ["k1"], ("status",)))
        wait_until(lambda: all(call(d, "r-4", "/payout/1").status == 404
                               for d in daemons),
                   "another configuration with a number already seen")
        session.say("a configuration with a number already seen is in force")

        PlainWorker(store, "l3", "ledger", "z1")
        wait_until(lambda: all(seal_of(d, "r-5") == "seal-l3"
                               for d in daemons), "the new ledger")
        first.drain()
        wait_until_leaving(daemons, first)
        before = sum(first.runs.values())
        for d in daemons:
            for i in range(20):
                seal_of(d, f"r-7-{i}")
        session.say("requests to a host that leaves after the restore: "
                    f"{sum(first.runs.values()) - before}")

        store.put("config", "main", configuration(6, ["k1", "k3"]))
        wait_until(lambda: all(
            call(d, "r-6", "/status/1", "k3", method="GET").status == 200
            for d in daemons), "the new key")
        session.say("the next configuration is in force")

        one_of_each_group = {
            e.entry["group"]["name"]: e for e in engines}.values()
        for engine in one_of_each_group:
            engine.server.socket.close()
            store.remove("servers", engine.name)
        wait_until(lambda: all(serves(d) for d in daemons),
                   "service after the loss of a member of each group")
        session.say("the survivors form a group")


if __name__ == "__main__":
    main()

"""Not a case: it needs the daemon with link faults, which the deploy file doesn't
build. Shows REFUSED broken by hand:

    cmake --preset release && cmake --build --preset release
    python3 review/refused_detour.py build/release/bin [sealed]

A daemon loses its links to all workers, its helper reaches them, and the worker
runs a call that may run once and answers 409, without X-Response-Seal or with it."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "testsuite"))
from entry_calls import call, serves  # noqa: E402
from link_faults_test import LinkFaults  # noqa: E402
from session import Session, wait_until  # noqa: E402
from users_platform import (  # noqa: E402
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration,
    daemon_ports)

SEALED = "sealed" in sys.argv[2:]


class ConflictWorker(PlainWorker):
    """Runs each payout and answers 409."""

    conflict = False

    def serve(self, handler, body):
        if not self.conflict or not handler.path.startswith("/payout"):
            super().serve(handler, body)
            return
        self.runs[handler.headers["X-Request-Id"]] += 1
        handler.answer(409, b"already booked", [
            h for h in self.seal_headers(handler)
            if SEALED or h[0] != "X-Response-Seal"])


with Session(sys.argv[1]) as session:
    store = Store()
    store.put("config", "main", configuration(3, ["k1"]))
    engines = [EngineWorker(store, f"e{i}", "llm", "z1", "d1")
               for i in range(4)]
    ledgers = [ConflictWorker(store, f"l{i}", "ledger", "z1")
               for i in range(2)]
    ports = daemon_ports()
    links = {name: LinkFaults(session, name) for name in "ab"}
    daemons = [EntryDaemon(session, store, name, "z1", f"127.0.0.{i + 1}",
                           ports, [f"127.0.0.1:{ports['peer']}"],
                           links=links[name]) for i, name in enumerate("ab")]
    wait_until(lambda: all(serves(d) for d in daemons), "groups that serve")
    time.sleep(3)
    for ledger in ledgers:
        ledger.conflict = True
    print("with links:", call(daemons[0], "p-0", "/payout/1", body="x").status)
    links["a"].cut("silent", [*engines, *ledgers])
    time.sleep(4)
    for number in range(1, 9):
        name = f"p-{number}"
        answer = call(daemons[0], name, "/payout/1", body="x")
        print(f"without links: {answer.status}, runs "
              f"{sum(ledger.runs[name] for ledger in ledgers)}")

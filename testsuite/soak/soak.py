#!/usr/bin/env python3
"""Soak test of entry daemons with random fault injection.

usage: soak.py --bin BIN_FOLDER [--seeds FIRST-LAST] [--seconds N]
               [--faults all|links|ends]

Runs real daemons with stand-ins of the users' platform, injects faults chosen
by a seed, and checks at the callers and upstreams that responses are complete
and belong to their requests, streams have no gaps, a payout runs at most once
and not at all when it was refused, no request is lost around planned work, and
service recovers. Even seeds have planned work alone; with --faults links, all
have cut links between daemons and workers beside it; with --faults ends, all
have workers that end responses early. Ends only the processes that it started,
by their ids. See docs/soak.md.
"""

import argparse
import multiprocessing
import os
import pathlib
import random
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import faults  # noqa: E402
from callers import Caller  # noqa: E402
from complete_answers import find_incomplete  # noqa: E402
from link_faults_test import LinkFaults  # noqa: E402
from lost_requests import Call, FaultLog, describe, find_lost  # noqa: E402
from proxy import Proxy  # noqa: E402
from session import (  # noqa: E402
    ConnectionDropped, Session, request, wait_until)
from soak_workers import SoakEngine, SoakLedger  # noqa: E402
from users_platform import (  # noqa: E402
    EntryDaemon, Store, configuration, daemon_ports)

# Callers that open a connection for each request, and callers that keep theirs.
NEW_CONNECTION_CALLERS = 5
KEPT_CONNECTION_CALLERS = 7
GRACE_SECONDS = 6
ROUTE_TIMEOUT_MS = 8000
START_SECONDS = 30
RECOVERY_SECONDS = 20
# Time for workers to note the ends of their last responses.
WORK_END_SECONDS = 5


class SoakRun:
    """The processes and stand-ins of one seed, and the violations found."""

    DAEMONS = 3
    DOMAINS = 3
    NOT_RUN = (408, 421, 429, 503)

    def __init__(self, session, seed):
        self.session = session
        self.seed = seed
        self.random = random.Random(seed)
        self.store = Store()
        self.store_proxy = Proxy(self.store.server.address)
        self.worker_proxies = []
        self.store.address_of = self.add_worker_proxy
        self.version = 3
        self.keys = ["k1", "k2"]
        self.publish_configuration()
        self.crashing_parts = []
        self.engines = []
        for domain in range(self.DOMAINS):
            for number in range(4):
                self.add_engine(f"e{domain}{number}", f"d{domain}")
        self.ledgers = [SoakLedger(self.store, f"l{i}", "ledger", "z1")
                        for i in range(2)]
        self.former_ledgers = []
        # The latest copy of the store's content, for restore_store.
        self.saved = self.store.copy()
        self.ports = daemon_ports()
        self.daemons = {}
        self.links = [LinkFaults(session, f"n{number}")
                      for number in range(self.DAEMONS)]
        # Only one sequence of faults cuts links at a time.
        self.links_lock = threading.Lock()
        # Two fault sequences must not start one daemon twice on the same ports.
        self.daemon_locks = [threading.Lock() for _ in range(self.DAEMONS)]
        self.starts = 0
        self.log = FaultLog(GRACE_SECONDS)
        # Parts of prompts that crash engines, and limits that hosts have named.
        self.troubles = []
        for number in range(self.DAEMONS):
            self.start_daemon(number, first_start=True)
        self.violations = []
        # Requests that ended without a whole answer and are not violations.
        self.not_counted = []
        self.served = 0
        self.lock = threading.Lock()
        self.running = True
        self.refused = set()
        self.calls = []

    def publish_configuration(self):
        self.store.put("config", "main", configuration(
            self.version, self.keys, timeout_ms=ROUTE_TIMEOUT_MS))

    def add_worker_proxy(self, address):
        proxy = Proxy(address)
        self.worker_proxies.append(proxy)
        return proxy.address

    def close_address(self, address):
        """Closes the listener of the proxy before a worker that falls."""
        for proxy in self.worker_proxies:
            if proxy.address == address:
                proxy.close_listener()

    def add_engine(self, name, domain):
        engine = SoakEngine(
            self.store, name, "llm", "z1", domain,
            on_fall=lambda: self.close_address(engine.entry["address"]))
        engine.crashing_parts = self.crashing_parts
        self.engines.append(engine)

    def start_daemon(self, number, first_start=False):
        if number in self.daemons:
            self.keep_logs(self.daemons[number])
        ip = f"127.0.0.{number + 1}"
        seeds = [f"127.0.0.1:{self.ports['peer']}"]
        self.daemons[number] = EntryDaemon(
            self.session, self.store, f"n{number}", "z1", ip, self.ports,
            seeds, first_start, self.store_proxy.address,
            grace=f"{GRACE_SECONDS}s", links=self.links[number])
        self.log.add_start(number)

    def keep_logs(self, daemon):
        """Renames the logs of a process that has ended."""
        self.starts += 1
        for log in (daemon.stdout, daemon.log):
            log.rename(f"{log}.{self.starts}")

    def record_violation(self, text):
        with self.lock:
            self.violations.append(text)

    def record_exception(self, raised):
        """A threading.excepthook: a thread that ends early leaves callers or
        faults out."""
        self.record_violation("".join(traceback.format_exception(
            raised.exc_type, raised.exc_value, raised.exc_traceback)))

    def serves(self):
        daemon = self.daemons[self.random.randrange(self.DAEMONS)]
        try:
            answer = request(
                daemon.address("caller"), "POST", "/chat/1", "", {
                    "Host": "sheds.example", "Authorization": "Bearer k1",
                    "X-Request-Id": f"w-{time.time_ns()}",
                    "X-Deadline-Ms": "3000", "X-Model-Name": "m1",
                    "X-Token-Counts": "100,60"}, timeout=6)
            return answer.status == 200
        except (ConnectionDropped, OSError):
            return False

    def wait_for_service(self, when, timeout):
        """Returns whether the daemons serve in time; if not, it is a
        violation."""
        try:
            wait_until(self.serves, "service", timeout)
            return True
        except TimeoutError:
            self.record_violation(f"no service within {timeout} s {when}")
            return False

    def check_runs(self):
        for ledger in [*self.ledgers, *self.former_ledgers]:
            for request_id, runs in ledger.runs.items():
                if runs > 1 and not request_id.startswith("s"):
                    self.record_violation(f"{request_id}: ran {runs} times")
                if request_id in self.refused:
                    self.record_violation(
                        f"{request_id}: ran although it was refused")

    def check_troubles(self):
        for trouble in self.troubles:
            for text in trouble.violations():
                self.record_violation(text)

    def collect_works(self):
        """Returns the works of each request id, in order."""
        works = {}
        for worker in [*self.engines, *self.ledgers, *self.former_ledgers]:
            for work in worker.work:
                works.setdefault(work.request_id, []).append(work)
        for its_works in works.values():
            its_works.sort(key=lambda work: work.begun)
        return works

    def check_complete_answers(self):
        # A worker may note its end right after its caller has seen it.
        ends = time.monotonic() + WORK_END_SECONDS
        while time.monotonic() < ends and find_incomplete(
                self.calls, self.collect_works()):
            time.sleep(0.1)
        for text in find_incomplete(self.calls, self.collect_works()):
            self.record_violation(text)

    def check_lost_requests(self):
        works = self.collect_works()
        lost = {call.request_id: reason for call, reason
                in find_lost(self.calls, works, self.log)}
        for call in filter(Call.is_lost, self.calls):
            reason = lost.get(call.request_id)
            text = describe(call, reason, works.get(call.request_id, []),
                            self.log)
            if reason is not None:
                self.record_violation(text)
            else:
                self.not_counted.append(text)


def report(run, keep):
    """Prints the result of a seed and keeps the logs of one that failed.
    Returns whether it passed."""
    cut = sum(call.is_lost() for call in run.calls)
    print(f"seed {run.seed}: {len(run.calls)} sent, {run.served} served, {cut} "
          f"without a whole answer, {len(run.log.stops)} stops, "
          f"{len(run.violations)} violations", flush=True)
    for text in run.violations[:10]:
        print(f"  {text}")
    if run.not_counted:
        (keep / f"seed-{run.seed}-not-counted").write_text(
            "".join(f"{text}\n" for text in run.not_counted))
    if run.violations:
        (keep / f"seed-{run.seed}-violations").write_text(
            "".join(f"{text}\n" for text in run.violations))
        for log in pathlib.Path(run.session.scratch.name).glob("*.std*"):
            (keep / f"seed-{run.seed}-{log.name}").write_bytes(
                log.read_bytes())
    return not run.violations


def chosen_faults(name, seed):
    if name != "all":
        return {"links": faults.LINKS, "ends": faults.ENDS}[name]
    return faults.PLANNED if seed % 2 == 0 else faults.ALL


def run_seed(seed, seconds, keep, kind):
    with Session() as session:
        run = SoakRun(session, seed)
        threading.excepthook = run.record_exception
        if not run.wait_for_service("after the start", START_SECONDS):
            return report(run, keep)
        callers = [
            Caller(run, f"{i}", keeps=i >= NEW_CONNECTION_CALLERS)
            for i in range(NEW_CONNECTION_CALLERS + KEPT_CONNECTION_CALLERS)]
        threads = [threading.Thread(target=c.run) for c in callers]
        for thread in threads:
            thread.start()
        faults.inject_faults(run, chosen_faults(kind, seed), seconds)
        run.wait_for_service("after the faults", RECOVERY_SECONDS)
        run.running = False
        for thread in threads:
            thread.join()
        run.check_runs()
        run.check_complete_answers()
        run.check_lost_requests()
        run.check_troubles()
        return report(run, keep)


def passes(seed, seconds, keep, kind):
    """Runs a seed in a process of its own, whose sockets and threads end with
    it."""
    process = multiprocessing.Process(
        target=lambda: sys.exit(0 if run_seed(seed, seconds, keep, kind)
                                else 1))
    process.start()
    process.join()
    return process.exitcode == 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seeds", default="1-5")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument(
        "--faults", choices=["all", "links", "ends"], default="all")
    parser.add_argument("--keep", type=pathlib.Path,
                        default=pathlib.Path("build/soak"))
    arguments = parser.parse_args()
    os.environ["MONSOONDOCK_BIN"] = arguments.bin
    arguments.keep.mkdir(parents=True, exist_ok=True)
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    failed = [s for s in seeds
              if not passes(s, arguments.seconds, arguments.keep,
                            arguments.faults)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

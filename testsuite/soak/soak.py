#!/usr/bin/env python3
"""Soak test of entry daemons with random fault injection.

usage: soak.py --bin BIN_FOLDER [--seeds FIRST-LAST] [--seconds N]

Runs real daemons with stand-ins of the users' platform, injects faults chosen
by a seed, and checks at the callers and upstreams that responses are complete
and belong to their requests, streams have no gaps, a payout runs at most once
and not at all when it was refused, and service recovers. Ends only the
processes that it started, by their ids. See docs/soak.md.
"""

import argparse
import os
import pathlib
import random
import re
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from proxy import MODES, Proxy  # noqa: E402
from session import (  # noqa: E402
    ConnectionDropped, Session, request, wait_until)
from users_platform import (  # noqa: E402
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration, daemon_ports)

DAEMONS = 3
DOMAINS = 3
CALLERS = 6
START_SECONDS = 30
RECOVERY_SECONDS = 20
NOT_RUN = (408, 421, 429, 503)


class SoakRun:
    """The processes and stand-ins of one seed, and the violations found."""

    def __init__(self, session, seed):
        self.session = session
        self.random = random.Random(seed)
        self.store = Store()
        self.store_proxy = Proxy(self.store.server.address)
        self.worker_proxies = []
        self.store.address_of = self.add_worker_proxy
        self.version = 3
        self.keys = ["k1", "k2"]
        self.publish_configuration()
        self.engines = []
        for domain in range(DOMAINS):
            for number in range(4):
                self.add_engine(f"e{domain}{number}", f"d{domain}")
        self.ledgers = [PlainWorker(self.store, f"l{i}", "ledger", "z1")
                        for i in range(2)]
        # The latest copy of the store's content, for restore_store.
        self.saved = self.store.copy()
        self.ports = daemon_ports()
        self.daemons = {}
        # Two fault sequences must not start one daemon twice on the same ports.
        self.daemon_locks = [threading.Lock() for _ in range(DAEMONS)]
        for number in range(DAEMONS):
            self.start_daemon(number, first_start=True)
        self.violations = []
        self.served = 0
        self.lock = threading.Lock()
        self.running = True
        self.refused = set()

    def publish_configuration(self):
        self.store.put(
            "config", "main", configuration(self.version, self.keys))

    def add_worker_proxy(self, address):
        proxy = Proxy(address)
        self.worker_proxies.append(proxy)
        return proxy.address

    def add_engine(self, name, domain):
        self.engines.append(
            EngineWorker(self.store, name, "llm", "z1", domain))

    def start_daemon(self, number, first_start=False):
        ip = f"127.0.0.{number + 1}"
        seeds = [f"127.0.0.1:{self.ports['peer']}"]
        self.daemons[number] = EntryDaemon(
            self.session, self.store, f"n{number}", "z1", ip, self.ports,
            seeds, first_start, self.store_proxy.address)

    def record_violation(self, text):
        with self.lock:
            self.violations.append(text)

    def call(self, path, request_id, body, model=None):
        number = self.random.randrange(DAEMONS)
        headers = {"Host": "sheds.example", "X-Request-Id": request_id,
                   "X-Deadline-Ms": "3000", "Authorization": "Bearer k1"}
        if model:
            headers["X-Model-Name"] = model
            headers["X-Token-Counts"] = "100,60"
        return request(self.daemons[number].address("caller"), "POST", path,
                       body, headers, timeout=6)

    def chat(self, request_id):
        answer = self.call("/chat/1", request_id, "", "m1")
        if answer.status != 200:
            return
        ids = [int(i) for i in
               re.findall(r"^id: (\d+)$", answer.text(), re.MULTILINE)]
        if ids != list(range(1, EngineWorker.EVENTS + 1)):
            self.record_violation(
                f"{request_id}: a complete stream has the events {ids}")
        self.check_seal(request_id, answer)

    def pay(self, request_id):
        answer = self.call("/payout/1", request_id, request_id)
        if answer.status in NOT_RUN:
            with self.lock:
                self.refused.add(request_id)
        if answer.status != 200:
            return
        if answer.text() != f"done {request_id}":
            self.record_violation(f"{request_id}: wrong answer {answer.text()}")
        self.check_seal(request_id, answer)

    def check_seal(self, request_id, answer):
        with self.lock:
            self.served += 1
        if answer.headers.get("x-request-id") != request_id:
            self.record_violation(f"{request_id}: answer of another request")
        if "x-response-seal" not in answer.headers:
            self.record_violation(f"{request_id}: success without a seal")

    def run_caller(self, name):
        count = 0
        while self.running:
            count += 1
            request_id = f"{name}-{count}"
            try:
                if count % 3:
                    self.chat(f"c{request_id}")
                else:
                    self.pay(f"p{request_id}")
            except (ConnectionDropped, OSError):
                time.sleep(0.02)

    def check_runs(self):
        for ledger in self.ledgers:
            for request_id, runs in ledger.runs.items():
                if runs > 1:
                    self.record_violation(f"{request_id}: ran {runs} times")
                if request_id in self.refused:
                    self.record_violation(
                        f"{request_id}: ran although it was refused")

    # The faults follow, one method each.

    def kill_daemon(self):
        number = self.random.randrange(DAEMONS)
        with self.daemon_locks[number]:
            self.daemons[number].popen.kill()
            self.daemons[number].popen.wait()
            time.sleep(self.random.uniform(0, 0.5))
            self.start_daemon(number)

    def stop_daemon(self):
        number = self.random.randrange(DAEMONS)
        with self.daemon_locks[number]:
            # SIGTERM kills a process that has not installed its handler yet.
            wait_until(lambda: started(self.daemons[number]), "start", 10)
            self.daemons[number].popen.send_signal(signal.SIGTERM)
            status = self.daemons[number].popen.wait(15)
            if status != 0:
                self.record_violation(f"planned stop: exit status {status}")
            self.start_daemon(number)

    def pause_daemon(self):
        popen = self.daemons[self.random.randrange(DAEMONS)].popen
        popen.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.2, 2.0))
        popen.send_signal(signal.SIGCONT)

    def reload_daemon(self):
        self.daemons[self.random.randrange(DAEMONS)].popen.send_signal(
            signal.SIGHUP)

    def lose_engine(self):
        heads = [e for e in self.engines
                 if e.is_open_head() and not e.crash_at_event]
        if len(heads) > 1:
            self.random.choice(heads).crash_at_event = self.random.randint(1, 9)
        self.add_engine(f"x{len(self.engines)}",
                        f"d{self.random.randrange(DOMAINS)}")

    def drain_engine(self):
        ready = [e for e in self.engines if e.entry["state"] == "ready"]
        if len(ready) > 6:
            self.random.choice(ready).drain()

    def lose_answers(self):
        self.random.choice(
            self.ledgers).answers_to_drop = self.random.randint(1, 5)

    def break_streams(self):
        engine = self.random.choice(self.engines)
        engine.truncate_at_event = self.random.choice(
            [None, *range(1, EngineWorker.EVENTS + 1)])
        engine.unframed_streams = self.random.randint(1, 5)

    def pause_ledger(self):
        self.random.choice(
            self.ledgers).pause = self.random.choice([0.2, 0.7, 1, 2])

    def replace_ledger(self):
        """A ledger host says in its answers that it is leaving, while the store
        lists it as ready, and another one takes its place."""
        leaving = self.random.choice(self.ledgers)
        self.ledgers.remove(leaving)
        self.ledgers.append(PlainWorker(
            self.store, f"l{time.time_ns()}", "ledger", "z1"))
        leaving.fields = [("Server-Leaving", "1")]

    def restore_store(self):
        """The store comes back from the copy that was made last; the operator
        and the workers write again what they wrote since."""
        saved, self.saved = self.saved, self.store.copy()
        self.store.down.set()
        time.sleep(self.random.uniform(0.1, 1.0))
        self.store.restore(saved)
        self.store.down.clear()
        time.sleep(self.random.uniform(0.0, 1.0))
        self.publish_configuration()
        for worker in [*self.engines, *self.ledgers]:
            worker.publish()

    def change_configuration(self):
        self.version += self.random.randint(1, 5)
        self.keys = ["k1"] if "k2" in self.keys else ["k1", "k2"]
        self.publish_configuration()

    def cut_store(self):
        self.store.down.set()
        time.sleep(self.random.uniform(0.5, 4.0))
        self.store.down.clear()

    def inject_worker_network_fault(self):
        self.random.choice(self.worker_proxies).inject_fault(
            self.random.choice(MODES[1:]), self.random.uniform(0.3, 3.0))

    def inject_store_network_fault(self):
        self.store_proxy.inject_fault(
            self.random.choice(MODES[1:]), self.random.uniform(0.3, 3.0))


FAULTS = [SoakRun.kill_daemon, SoakRun.stop_daemon, SoakRun.pause_daemon,
          SoakRun.reload_daemon, SoakRun.lose_engine, SoakRun.drain_engine,
          SoakRun.lose_answers, SoakRun.change_configuration, SoakRun.cut_store,
          SoakRun.break_streams, SoakRun.break_streams, SoakRun.pause_ledger,
          SoakRun.replace_ledger, SoakRun.restore_store,
          SoakRun.inject_worker_network_fault,
          SoakRun.inject_worker_network_fault,
          SoakRun.inject_store_network_fault]


def started(daemon):
    return "event=started" in daemon.stdout.read_text(errors="replace")


def serves(soak_run):
    try:
        answer = soak_run.call("/chat/1", f"w-{time.time_ns()}", "", "m1")
        return answer.status == 200
    except (ConnectionDropped, OSError):
        return False


def inject_faults(soak_run, seconds):
    """Runs two sequences of random faults at once, so that they overlap."""
    end = time.monotonic() + seconds

    def fault_sequence(seed):
        generator = random.Random(seed)
        while time.monotonic() < end:
            try:
                generator.choice(FAULTS)(soak_run)
            except ProcessLookupError:
                # The other sequence has just ended the process.
                pass
            time.sleep(generator.uniform(0.1, 0.8))

    threads = [
        threading.Thread(target=fault_sequence,
                         args=(soak_run.random.random(),))
        for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def wait_for_service(soak_run, when, timeout):
    """Returns whether the daemons serve in time; if not, it is a violation."""
    try:
        wait_until(lambda: serves(soak_run), "service", timeout)
        return True
    except TimeoutError:
        soak_run.record_violation(f"no service within {timeout} s {when}")
        return False


def report(soak_run, seed, keep):
    """Prints the result of a seed and keeps the logs of one that failed.
    Returns whether it passed."""
    print(f"seed {seed}: {soak_run.served} served, "
          f"{len(soak_run.violations)} violations", flush=True)
    for text in soak_run.violations[:10]:
        print(f"  {text}")
    if soak_run.violations:
        for log in pathlib.Path(
                soak_run.session.scratch.name).glob("*.std*"):
            (keep / f"seed-{seed}-{log.name}").write_bytes(log.read_bytes())
    return not soak_run.violations


def run_seed(seed, seconds, keep):
    with Session() as session:
        soak_run = SoakRun(session, seed)
        if not wait_for_service(soak_run, "after the start", START_SECONDS):
            return report(soak_run, seed, keep)
        callers = [threading.Thread(target=soak_run.run_caller, args=(f"{i}",))
                   for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        inject_faults(soak_run, seconds)
        wait_for_service(soak_run, "after the faults", RECOVERY_SECONDS)
        soak_run.running = False
        for caller in callers:
            caller.join()
        soak_run.check_runs()
        return report(soak_run, seed, keep)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seeds", default="1-5")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--keep", type=pathlib.Path,
                        default=pathlib.Path("build/soak"))
    arguments = parser.parse_args()
    os.environ["MONSOONDOCK_BIN"] = arguments.bin
    arguments.keep.mkdir(parents=True, exist_ok=True)
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    failed = [s for s in seeds
              if not run_seed(s, arguments.seconds, arguments.keep)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

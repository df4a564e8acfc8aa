#!/usr/bin/env python3
"""Randomized fault soak of entry daemons.

usage: soak.py --bin BIN_FOLDER [--seeds FIRST-LAST] [--seconds N]

Runs real daemons beside the stand-ins of the users' platform, injects faults
from outside them by a seed, and checks from what callers and upstreams see:
answers are whole and the caller's own, streams have no gap, a payout runs at
most once and not at all when it was refused, and service comes back. It ends
only the processes that it started, by their ids. See docs/soak.md.
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
from session import Dropped, Session, request, wait_until  # noqa: E402
from users_platform import (  # noqa: E402
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration, daemon_ports)

DAEMONS = 3
DOMAINS = 3
CALLERS = 6
RECOVERY_SECONDS = 20
NOT_RUN = (408, 421, 429, 503)


class World:
    """The processes and stand-ins of one seed, and what was seen."""

    def __init__(self, session, seed):
        self.session = session
        self.random = random.Random(seed)
        self.store = Store()
        self.store_proxy = Proxy(self.store.server.address)
        self.worker_proxies = []
        self.store.address_of = self.put_proxy_before
        self.version = 3
        self.keys = ["k1", "k2"]
        self.put_configuration()
        self.engines = []
        for domain in range(DOMAINS):
            for number in range(4):
                self.add_engine(f"e{domain}{number}", f"d{domain}")
        self.ledgers = [PlainWorker(self.store, f"l{i}", "ledger", "z1")
                        for i in range(2)]
        self.ports = daemon_ports()
        self.daemons = {}
        # Two series must not start one daemon twice on the same ports.
        self.daemon_locks = [threading.Lock() for _ in range(DAEMONS)]
        for number in range(DAEMONS):
            self.start_daemon(number, first=True)
        self.broken = []
        self.served = 0
        self.lock = threading.Lock()
        self.running = True
        self.refused = set()

    def put_configuration(self):
        self.store.put(
            "config", "main", configuration(self.version, self.keys))

    def put_proxy_before(self, address):
        proxy = Proxy(address)
        self.worker_proxies.append(proxy)
        return proxy.address

    def add_engine(self, name, domain):
        self.engines.append(
            EngineWorker(self.store, name, "llm", "z1", domain))

    def start_daemon(self, number, first=False):
        ip = f"127.0.0.{number + 1}"
        seeds = [f"127.0.0.1:{self.ports['peer']}"]
        self.daemons[number] = EntryDaemon(
            self.session, self.store, f"n{number}", "z1", ip, self.ports,
            seeds, first, self.store_proxy.address)

    def note(self, text):
        with self.lock:
            self.broken.append(text)

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
            self.note(f"{request_id}: a stream that ends as whole has {ids}")
        self.check_seal(request_id, answer)

    def pay(self, request_id):
        answer = self.call("/payout/1", request_id, request_id)
        if answer.status in NOT_RUN:
            with self.lock:
                self.refused.add(request_id)
        if answer.status != 200:
            return
        if answer.text() != f"done {request_id}":
            self.note(f"{request_id}: got {answer.text()}")
        self.check_seal(request_id, answer)

    def check_seal(self, request_id, answer):
        with self.lock:
            self.served += 1
        if answer.headers.get("x-request-id") != request_id:
            self.note(f"{request_id}: another request's answer")
        if "x-response-seal" not in answer.headers:
            self.note(f"{request_id}: success without a seal")

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
            except (Dropped, OSError):
                time.sleep(0.02)

    def check_runs(self):
        for ledger in self.ledgers:
            for request_id, runs in ledger.runs.items():
                if runs > 1:
                    self.note(f"{request_id}: ran {runs} times")
                if request_id in self.refused:
                    self.note(f"{request_id}: refused as not run, and ran")

    # Faults, one function each.

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
            # A process that is still being loaded can't catch a signal.
            wait_until(lambda: started(self.daemons[number]), "start", 10)
            self.daemons[number].popen.send_signal(signal.SIGTERM)
            status = self.daemons[number].popen.wait(15)
            if status != 0:
                self.note(f"a planned stop ended with {status}")
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
                 if e.is_open_head() and not e.fall_after]
        if len(heads) > 1:
            self.random.choice(heads).fall_after = self.random.randint(1, 9)
        self.add_engine(f"x{len(self.engines)}",
                        f"d{self.random.randrange(DOMAINS)}")

    def drain_engine(self):
        ready = [e for e in self.engines if e.entry["state"] == "ready"]
        if len(ready) > 6:
            self.random.choice(ready).drain()

    def lose_answers(self):
        self.random.choice(self.ledgers).lose = self.random.randint(1, 5)

    def change_configuration(self):
        self.version += self.random.randint(1, 5)
        self.keys = ["k1"] if "k2" in self.keys else ["k1", "k2"]
        self.put_configuration()

    def cut_store(self):
        self.store.down.set()
        time.sleep(self.random.uniform(0.5, 4.0))
        self.store.down.clear()

    def hinder_worker(self):
        self.random.choice(self.worker_proxies).hinder(
            self.random.choice(MODES[1:]), self.random.uniform(0.3, 3.0))

    def hinder_store(self):
        self.store_proxy.hinder(
            self.random.choice(MODES[1:]), self.random.uniform(0.3, 3.0))


FAULTS = [World.kill_daemon, World.stop_daemon, World.pause_daemon,
          World.reload_daemon, World.lose_engine, World.drain_engine,
          World.lose_answers, World.change_configuration, World.cut_store,
          World.hinder_worker, World.hinder_worker, World.hinder_store]


def started(daemon):
    return "event=started" in daemon.stdout.read_text(errors="replace")


def serves(world):
    try:
        return world.call("/chat/1", f"w-{time.time_ns()}", "", "m1").status \
            == 200
    except (Dropped, OSError):
        return False


def inject(world, seconds):
    """Two series of faults at once, so that they overlap."""
    end = time.monotonic() + seconds

    def series(seed):
        chooser = random.Random(seed)
        while time.monotonic() < end:
            try:
                chooser.choice(FAULTS)(world)
            except ProcessLookupError:
                # The other series has just ended the process.
                pass
            time.sleep(chooser.uniform(0.1, 0.8))

    threads = [threading.Thread(target=series, args=(world.random.random(),))
               for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def run_seed(seed, seconds, keep):
    with Session() as session:
        world = World(session, seed)
        wait_until(lambda: serves(world), "service at the start", 30)
        callers = [threading.Thread(target=world.run_caller, args=(f"{i}",))
                   for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        inject(world, seconds)
        try:
            wait_until(lambda: serves(world), "service", RECOVERY_SECONDS)
        except TimeoutError:
            world.note("no service after the faults")
        world.running = False
        for caller in callers:
            caller.join()
        world.check_runs()
        print(f"seed {seed}: {world.served} served, "
              f"{len(world.broken)} promises broken", flush=True)
        for text in world.broken[:10]:
            print(f"  {text}")
        if world.broken:
            for log in pathlib.Path(session.scratch.name).glob("*.std*"):
                (keep / f"seed-{seed}-{log.name}").write_bytes(
                    log.read_bytes())
        return not world.broken


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

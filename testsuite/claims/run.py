"""Payouts through real daemons: one run for each key, whatever fails. The
service stand-in counts runs, and each statement `not_run` is held against it."""

import concurrent.futures
import json
import pathlib
import socket
import time

from session import Dropped, Session, request, wait_until

EXAMPLE = pathlib.Path(__file__).resolve().parents[2] / "examples" / "resinas"
# Time after the claim in which a daemon has surely sent the call.
SEND_SECONDS = 0.3
KEY = "Bearer sheds-central-demo-key"

DAEMON = """daemon = "{name}"
region = "cr-central"
data_centre = "heredia"
caller_address = "{caller}"
peer_address = "{peer}"
platform_addresses = ["{store}"]
peer_secret_file = "peer.secret"
timeouts.platform = "500ms"
timeouts.watch = "500ms"
timeouts.entry_host_ttl = "100ms"
"""


def free_address():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % s.getsockname()[1]


class Bench:
    """Two daemons, a service and the platform, with checks of every answer."""

    def __init__(self, session):
        self.session = session
        self.store = session.start(
            "platform", "monsoondock-platform-standin").address
        self.start_ledger()
        session.run_tool(
            "monsoondockctl", "settings", "apply", EXAMPLE / "settings.toml",
            "--platform", self.store, "--author", "ana")
        # Readiness is polled with calls, which count against the rate.
        for name in ("request_rate", "request_burst"):
            result = session.run_tool(
                "monsoondockctl", "settings", "set",
                "resinas/workspaces/sheds-central", f"workspace.{name}",
                "10000", "--platform", self.store)
            assert result.returncode == 0, result.stderr
        session.write_file("peer.secret", "0123456789abcdef")
        self.daemons = {}
        for name in ("d1", "d2"):
            self.start_daemon(name)
        for name, other in (("d1", "d2"), ("d2", "d1")):
            wait_until(lambda n=name, o=other: self.knows(n, o), "membership")

    def knows(self, name, other):
        answer = request(
            self.daemons[name].address, "GET", "/admin/members")
        return answer.status == 200 and f'"{other}"' in answer.text()

    def start_ledger(self):
        self.service = self.session.start(
            "ledger", "monsoondock-service-standin", "--deployment",
            "ledger-app", "--platform", self.store)
        self.ledger = self.service.address

    def start_daemon(self, name):
        caller = free_address()
        path = self.session.write_file(f"{name}.toml", DAEMON.format(
            name=name, caller=caller, peer=free_address(), store=self.store))
        process = self.session.start(
            name, "monsoondockd", "--config", path, listeners=0)
        process.addresses.append(caller)
        self.daemons[name] = process
        wait_until(lambda: self.ready(process), "ready daemon")

    def ready(self, process):
        try:
            answer = request(process.address, "GET", "/readyz")
            service = request(
                process.address, "GET", "/services/ledger-app/standin/runs",
                headers={"Authorization": KEY, "Idempotency-Key": "probe"})
            return answer.status == 200 and service.status == 200
        except Dropped:
            return False

    def call(self, name, key, body="lot 7"):
        """Books a payout and returns its outcome in short words."""
        try:
            answer = request(
                self.daemons[name].address, "POST",
                "/services/ledger-app/payouts", body,
                headers={"Authorization": KEY, "Idempotency-Key": key})
        except Dropped:
            return "dropped"
        content = answer.json()
        if answer.status == 200:
            kind = "replayed" if "idempotency-replayed" in answer.headers \
                else "fresh"
            return f"200 {kind} run {content['run']} of {content['echo']}"
        again = "come back" if "retry-after" in answer.headers else "final"
        kind = content["type"].rsplit(":", 1)[1]
        return (f"{answer.status} {kind} run {content['run']} "
                f"key {content['key_run']} {again}")

    def book(self, label, name, key, body="lot 7"):
        outcome = self.call(name, key, body)
        runs = self.runs(key)
        assert runs == 0 or "key not_run" not in outcome
        self.session.say(f"{label}: {outcome}; runs {runs}")

    def runs(self, key):
        answer = request(self.ledger, "GET", "/standin/runs")
        return answer.json().get(key, 0)

    def claim(self, key):
        """Returns the phase of the claim with the key, or None."""
        answer = request(self.store, "GET", "/v1/objects?prefix=claims/")
        for found in answer.json()["objects"]:
            value = found["value"]
            value = json.loads(value) if isinstance(value, str) else value
            if value["key"] == key:
                return value["phase"]
        return None

    def later(self, name, key):
        return concurrent.futures.ThreadPoolExecutor(1).submit(
            self.call, name, key)

    def ledger_faults(self, **faults):
        self.session.fault(self.ledger, **faults)

    def store_faults(self, **faults):
        self.session.fault(self.store, **faults)


def show_repeats(b):
    b.session.say("## repeats")
    b.book("first", "d1", "k-repeat")
    b.book("same daemon", "d1", "k-repeat")
    b.book("other daemon", "d2", "k-repeat")
    b.book("another body", "d2", "k-repeat", "lot 8")


def show_at_once(b):
    b.session.say("## sixteen at once at two daemons")
    b.ledger_faults(delay_ms=200)
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        outcomes = list(pool.map(
            lambda i: b.call(("d1", "d2")[i % 2], "k-once"), range(16)))
    b.ledger_faults(delay_ms=0)
    fresh = [o for o in outcomes if o.startswith("200 fresh")]
    known = ("200 ", "409 call_in_progress", "502 outcome_unknown")
    b.session.say(f"fresh answers: {len(fresh)}")
    b.session.say(f"others: {all(o.startswith(known) for o in outcomes)}")
    b.book("later", "d1", "k-once")


def show_while_running(b):
    b.session.say("## a repeat at another daemon during the call")
    b.ledger_faults(delay_ms=1000)
    running = b.later("d1", "k-running")
    wait_until(lambda: b.claim("k-running") == "claimed", "claim")
    b.session.say(f"repeat: {b.call('d2', 'k-running')}")
    b.session.say(f"first: {running.result()}")
    b.ledger_faults(delay_ms=0)
    b.book("later", "d2", "k-running")


def show_crashes(b):
    b.session.say("## the service crashes")
    b.ledger_faults(crash_before_run=1)
    b.book("before the run", "d1", "k-before")
    b.book("repeat", "d2", "k-before")
    b.ledger_faults(crash_after_run=1)
    b.book("after the run", "d1", "k-after")
    b.book("repeat", "d2", "k-after")
    b.ledger_faults(cut_after_bytes=10)
    b.book("cut answer", "d1", "k-cut")
    b.ledger_faults(cut_after_bytes=0)
    b.book("repeat", "d1", "k-cut")


def show_lost_answers(b):
    b.session.say("## lost answers of the store")
    b.store_faults(lose_write_answers=1)
    b.book("claim", "d1", "k-lost")
    b.store_faults(lose_write_answers=2)
    b.book("claim and outcome", "d1", "k-lost-2")
    b.book("repeat", "d2", "k-lost-2")


def show_outage(b):
    b.session.say("## outage of the platform")
    b.store_faults(down=True)
    b.book("before the claim", "d1", "k-down")
    b.store_faults(down=False)
    b.book("afterwards", "d2", "k-down")
    b.ledger_faults(delay_ms=600)
    running = b.later("d1", "k-during")
    wait_until(lambda: b.claim("k-during") == "claimed", "claim")
    b.store_faults(down=True)
    b.session.say(f"while it runs: {running.result()}")
    b.ledger_faults(delay_ms=0)
    b.book("repeat in the outage", "d2", "k-during")
    b.store_faults(down=False)
    wait_until(lambda: b.claim("k-during") == "finished", "outcome")
    b.book("repeat afterwards", "d2", "k-during")


def show_kill(b):
    b.session.say("## a daemon is killed after the send")
    b.ledger_faults(delay_ms=1000)
    running = b.later("d1", "k-kill")
    wait_until(lambda: b.claim("k-kill") == "claimed", "claim")
    time.sleep(SEND_SECONDS)
    b.session.kill(b.daemons["d1"])
    b.session.say(f"caller: {running.result()}")
    wait_until(lambda: b.runs("k-kill") == 1, "run")
    wait_until(lambda: "409" not in b.call("d2", "k-kill"), "dead member")
    b.ledger_faults(delay_ms=0)
    b.book("repeat", "d2", "k-kill")
    b.start_daemon("d1")
    b.book("restarted", "d1", "k-kill")


def show_kills_at_any_time(b):
    b.session.say("## a daemon is killed at twenty moments")
    b.ledger_faults(delay_ms=5)
    for i in range(20):
        key = f"k-any-{i}"
        running = b.later("d1", key)
        try:
            running.result(timeout=0.001 * i)
        except concurrent.futures.TimeoutError:
            pass
        b.session.kill(b.daemons["d1"])
        running.result()
        b.call("d2", key)
        b.start_daemon("d1")
        b.call("d1", key)
    b.ledger_faults(delay_ms=0)
    most = max(b.runs(f"k-any-{i}") for i in range(20))
    b.session.say(f"most runs of a key: {most}")


def show_dead(b):
    b.session.say("## the service drops every connection")
    b.ledger_faults(dead=True)
    b.book("dropped", "d1", "k-dead")
    b.ledger_faults(dead=False)
    b.book("repeat", "d2", "k-dead")


def show_unreachable(b):
    b.session.say("## the service can't be reached, and comes back")
    b.session.kill(b.service)
    b.session.say(f"gone: {b.call('d1', 'k-gone')}")
    wait_until(lambda: b.claim("k-gone") is None, "release")
    b.start_ledger()
    wait_until(lambda: b.call("d2", "k-gone").startswith("200"), "service")
    b.book("repeat", "d1", "k-gone")


def show_total(b):
    runs = request(b.ledger, "GET", "/standin/runs").json()
    b.session.say(f"keys that ran more than once: "
                  f"{[k for k, n in runs.items() if n > 1]}")


def main():
    with Session() as s:
        b = Bench(s)
        show_repeats(b)
        show_at_once(b)
        show_while_running(b)
        show_crashes(b)
        show_lost_answers(b)
        show_outage(b)
        show_kill(b)
        show_kills_at_any_time(b)
        show_dead(b)
        show_total(b)
        show_unreachable(b)


main()

"""Daemons that lose their links to all upstreams, the leader among them, while
callers, the store and another daemon reach them."""

import concurrent.futures
import itertools
import re

from entry_calls import call, chat, is_ready, serves, status
from link_faults_test import LinkFaults
from session import Session, wait_until
from users_platform import (
    EngineWorker, EntryDaemon, PlainWorker, Store, configuration, daemon_ports)

REQUESTS = 20
# Calls at the same time; the groups have as many slots.
CALLERS = 4
# Share of the first tries that a daemon without links serves in the end.
SERVED = 0.9


def log_events(daemon, event):
    return re.findall(rf"event={event} .*", daemon.stdout_text())


def served(daemon, send, name):
    """Returns the share of requests that the daemon serves at the first try."""
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
        answers = callers.map(
            lambda i: send(daemon, f"{name}-{i}").status, range(REQUESTS))
        return sum(status == 200 for status in answers) / REQUESTS


def serves_all(daemon, payouts, name):
    return all(served(daemon, send, f"{kind}-{name}") >= SERVED
               for kind, send in (
                   ("c", chat), ("s", status), ("p", payouts)))


def refuses(daemon, request_id):
    """Returns whether the daemon refuses a stream without a try."""
    answer = chat(daemon, request_id)
    return answer.status == 503 and any(
        f"request={request_id} " in line and "outcome=links_cut" in line
        and "sends=0" in line for line in log_events(daemon, "request"))


def pay(daemon, request_id):
    """Sends a request of the kind that may run once."""
    return call(daemon, request_id, "/payout/1")


def count_detours(daemon, helper):
    return sum(f"helper={helper} " in line
               for line in log_events(daemon, "detour"))


class Payouts:
    """Sends payouts and checks how often they ran."""

    def __init__(self, ledgers):
        self.ledgers = ledgers
        self.refused = []

    def __call__(self, daemon, request_id):
        answer = pay(daemon, request_id)
        if answer.status == 503:
            self.refused.append(request_id)
        return answer

    def runs(self, request_id):
        return sum(ledger.runs[request_id] for ledger in self.ledgers)

    def most_runs(self):
        return max(self.runs(i) for ledger in self.ledgers
                   for i in list(ledger.runs) if i.startswith("p-"))

    def refused_that_ran(self):
        return sum(self.runs(i) > 0 for i in self.refused)


def main():
    with Session() as session:
        store = Store()
        store.put("config", "main", configuration(3, ["k1"]))
        engines = [EngineWorker(store, f"e{i}", "llm", "z1", "d1")
                   for i in range(4)]
        ledgers = [PlainWorker(store, f"l{i}", "ledger", "z1")
                   for i in range(2)]
        workers = [*engines, *ledgers]
        payouts = Payouts(ledgers)
        ports = daemon_ports()
        links = {name: LinkFaults(session, name) for name in "abc"}
        daemons = {}
        for number, name in enumerate("abc"):
            daemons[name] = EntryDaemon(
                session, store, name, "z1", f"127.0.0.{number + 1}", ports,
                [f"127.0.0.1:{ports['peer']}"], links=links[name])
        wait_until(lambda: all(is_ready(d) for d in daemons.values()),
                   "all daemons")
        wait_until(lambda: all(serves(d) for d in daemons.values()),
                   "groups that serve")
        wait_until(lambda: sum(e.is_open_head() for e in engines) == 2,
                   "all groups")
        groups = {(e.entry["group"]["name"], e.entry["group"]["epoch"])
                  for e in engines}
        leader = next(n for n, d in daemons.items()
                      if log_events(d, "leadership_gained"))
        other = next(n for n in "abc" if n != leader)
        sound = next(n for n in "abc" if n not in (leader, other))

        for mode in ("reset", "silent", "new_refused"):
            for name in (leader, other):
                links[name].cut(mode, workers)
            for name in (leader, other):
                number = itertools.count()
                wait_until(
                    lambda n=name: serves_all(
                        daemons[n], payouts, f"{mode}-{n}-{next(number)}"),
                    f"service at {name} with links cut: {mode}")
            session.say(f"{mode}: served by daemons without links")
            session.say(f"{mode}: served by the other "
                        f"{serves_all(daemons[sound], payouts, f'{mode}-sound')}")
            for name in (leader, other):
                links[name].restore()
            number = itertools.count()
            wait_until(
                lambda: all(serves_all(d, payouts, f"{mode}-end-{next(number)}")
                            for d in daemons.values()), "service after the cut")
        # No daemon has links: callers are refused at once, without a try.
        for name in "abc":
            links[name].cut("silent", workers)
        number = itertools.count()
        wait_until(
            lambda: all(refuses(d, f"none-{next(number)}")
                        for d in daemons.values()),
            "refusals by daemons none of which has links")
        session.say("all daemons cut: refused as links_cut")
        for name in "abc":
            links[name].restore()
        number = itertools.count()
        wait_until(
            lambda: all(serves_all(d, payouts, f"none-end-{next(number)}")
                        for d in daemons.values()), "service after the cut")

        # Links to some upstreams only: requests for the others take no detour.
        links[other].cut("silent", ledgers)
        number = itertools.count()
        wait_until(
            lambda: served(daemons[other], payouts,
                           f"p-some-{next(number)}") >= SERVED,
            "payouts with links to ledgers cut")
        detours = len(log_events(daemons[other], "detour"))
        session.say("some links cut: streams served "
                    f"{served(daemons[other], chat, 'c-some') >= SERVED}, "
                    "of them over detours "
                    f"{len(log_events(daemons[other], 'detour')) - detours}")

        # The daemon that serves a detour is killed.
        links[other].cut("reset", workers)
        wait_until(lambda: served(daemons[other], chat, "c-kill") >= SERVED,
                   "detours")
        killed = max((n for n in "abc" if n != other),
                     key=lambda n: count_detours(daemons[other], n))
        for ledger in ledgers:
            ledger.requests_to_hang = 2
        with concurrent.futures.ThreadPoolExecutor(2 * CALLERS) as callers:
            answers = [callers.submit(payouts, daemons[other], f"p-kill-{i}")
                       for i in range(2 * CALLERS)]
            wait_until(lambda: sum(
                payouts.runs(f"p-kill-{i}") for i in range(2 * CALLERS))
                >= CALLERS, "payouts that run")
            daemons[killed].popen.kill()
            statuses = {a.result().status for a in answers}
        # A payout that hangs at the other helper may reach its deadline.
        session.say("the helper is killed: answers among 200, 502, 503, 504 "
                    f"{statuses <= {200, 502, 503, 504}}")
        wait_until(lambda: served(daemons[other], chat, "c-after") >= SERVED,
                   "detours over the daemon that is left")
        session.say("served by way of the daemon that is left")

        explained = session.run_tool(
            "monsoondockctl", "explain-request", "c-after-0",
            *[d.stdout for d in daemons.values()])
        own = explained.stdout.partition("related events")[0]
        session.say("explain-request shows " + ", ".join(
            word for word in ("event=detour ", "event=detour_end",
                              "detour_from=", "detour_to=") if word in own))

        now = {(e.entry["group"]["name"], e.entry["group"]["epoch"])
               for e in engines if "group" in e.entry}
        session.say(f"groups are the same as before: {now == groups}")
        session.say(f"most runs of a payout: {payouts.most_runs()}, refused "
                    f"ones that ran: {payouts.refused_that_ran()}")
        session.say("hosts that were blamed: " + str(sum(
            len(log_events(d, "host_unreachable")) for d in daemons.values())))


if __name__ == "__main__":
    main()

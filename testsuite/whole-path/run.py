"""A caller's requests end to end: sixteen hosts form one group, two daemons
serve, and a caller looks up the entry hosts, streams a completion and repeats
a payout."""

import json

from cluster import Cluster, bearer
from session import Session, chat, parse_stream, request

COMPLETIONS = "/v1/chat/completions"


def show_completion(s, entry):
    body = chat("grade the lot of shed 7", 5, model="copal-llm")
    answer = request(
        entry, "POST", COMPLETIONS, body, bearer("sheds-central"))
    text, complete = parse_stream(answer.body)
    s.say(f"streamed: {answer.status} {text!r} complete {complete}")
    body = chat("draft a lot description", 3, stream=False, model="copal-llm")
    answer = request(
        entry, "POST", COMPLETIONS, body, bearer("sheds-central"))
    choice = answer.json()["choices"][0]
    s.say(f"not streamed: {answer.status} {choice['message']['content']!r} "
          f"{choice['finish_reason']}")


def show_payout(s, cluster, entry):
    first = cluster.pay(entry, "payout-1", "lot 7")
    s.say(f"payout: {first.status} {first.text()}")
    for name, address in sorted(cluster.daemons.items()):
        repeated = cluster.pay(address, "payout-1", "lot 7")
        s.say(f"repeated at {name}: {repeated.status}, same answer "
              f"{repeated.body == first.body}")
    s.say(f"runs: {cluster.runs()}")


def show_refusal(s, label, answer):
    problem = answer.json()
    shown = {k: problem.get(k) for k in ("type", "title", "status", "run")}
    kind = answer.headers.get("content-type")
    s.say(f"{label}: {answer.status} {kind} {json.dumps(shown)}")


def show_refusals(s, entry):
    wrong_key = {"Authorization": "Bearer nobody's key"}
    body = chat("p", model="copal-llm")
    show_refusal(s, "wrong key", request(
        entry, "POST", COMPLETIONS, body, wrong_key))
    body = chat("p", model="no-such-model")
    show_refusal(s, "unknown model", request(
        entry, "POST", COMPLETIONS, body, bearer("sheds-central")))
    show_refusal(s, "payout without a key", request(
        entry, "POST", "/services/ledger-app/payouts", "lot 8",
        bearer("ledger")))


def main():
    with Session() as s:
        cluster = Cluster(s)
        cluster.start_upstreams()
        for name in ("heredia-1", "heredia-2"):
            cluster.start_daemon(name)
        cluster.wait_for_members()
        lookup_address = cluster.daemons["heredia-2"]
        answer = cluster.entry_hosts(lookup_address, "ledger")
        entry_hosts = answer.json()["hosts"]
        names = sorted(s.normalise(host) for host in entry_hosts)
        s.say(f"entry hosts: {names}")
        entry = entry_hosts[0]
        show_payout(s, cluster, entry)
        show_refusals(s, entry)
        cluster.wait_for_group()
        show_completion(s, entry)
        for name in sorted(cluster.processes):
            s.say(f"{name} stopped: {s.stop(cluster.processes[name])}")


main()

#!/usr/bin/env python3
"""Starts a small cluster on loopback, sends it a few requests and prints the
responses. The cluster consists of the platform stand-in, sixteen engine hosts
in one process that form one group, a plain service and two daemons.

usage: demo.py [--bin FOLDER] [--hold]

--hold leaves everything running until Ctrl-C, to try requests by hand.
"""

import argparse
import json
import pathlib
import sys
import time

from cluster import API_KEYS, Cluster, bearer
from session import Session, chat, parse_stream, request

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMPLETIONS = "/v1/chat/completions"
LOAD_MS = 3000
LOAD_RATE = 40
DAEMONS = ["heredia-1", "heredia-2"]


def parse_arguments():
    parser = argparse.ArgumentParser(
        description=__doc__.split("\n\n")[0])
    parser.add_argument("--bin", type=pathlib.Path,
                        default=ROOT / "build" / "release" / "bin")
    parser.add_argument("--hold", action="store_true",
                        help="leave everything running until Ctrl-C")
    return parser.parse_args()


def heading(text):
    print(f"\n== {text}", flush=True)


def line(label, text):
    print(f"  {label:<22} {text}", flush=True)


def start(session):
    heading("processes")
    cluster = Cluster(session)
    cluster.start_upstreams()
    line("platform stand-in", cluster.platform.address)
    line("engine hosts", f"{len(cluster.engine.addresses)} in one process, "
         f"the first at {cluster.engine.address}")
    line("plain service", f"ledger-app at {cluster.ledger.address}")
    for name in DAEMONS:
        line("daemon", f"{name} at {cluster.start_daemon(name)}")
    started = time.monotonic()
    cluster.wait_for_members()
    cluster.wait_for_group()
    line("group of 16 hosts", "serving after "
         f"{time.monotonic() - started:.1f} s")
    return cluster


def show_entry_hosts(cluster):
    heading("entry hosts")
    address = cluster.daemons[DAEMONS[0]]
    hosts = cluster.entry_hosts(address, "sheds-central").json()["hosts"]
    line("GET /v1/entry-hosts", f"{', '.join(hosts)} (best first)")
    return hosts[0]


def show_completion(entry):
    heading("a streamed completion")
    body = chat("grade the lot of shed 7", 8, model="copal-llm")
    started = time.monotonic()
    answer = request(
        entry, "POST", COMPLETIONS, body, bearer("sheds-central"))
    elapsed_ms = (time.monotonic() - started) * 1000
    text, complete = parse_stream(answer.body)
    line("prompt", body["messages"][0]["content"])
    line("completion", text)
    line("status", f"{answer.status}, complete: {complete}, "
         f"{elapsed_ms:.1f} ms")
    return complete


def show_payout(cluster):
    heading("a payout that runs at most once")
    for name, address in cluster.daemons.items():
        answer = cluster.pay(address, "payout-7", "lot 7, 45000 colones")
        line(f"at {name}", f"{answer.status} {answer.text()}")
    line("runs at the ledger", json.dumps(cluster.runs()))


def show_refusals(entry):
    heading("refusals")
    wrong_key = {"Authorization": "Bearer nobody"}
    cases = [("wrong API key", "copal-llm", wrong_key),
             ("unknown model", "no-such-model", bearer("sheds-central"))]
    for label, model, headers in cases:
        answer = request(entry, "POST", COMPLETIONS,
                         chat("hello", model=model), headers)
        problem = answer.json()
        line(label, f"{answer.status} {problem['type']}, "
             f"{problem['run']}: {problem['detail']}")


def show_load(session, cluster):
    """Returns the exit status of the load tool."""
    heading(f"mixed load, {LOAD_RATE} requests/s for {LOAD_MS // 1000} s, "
            "every response checked")
    workspaces = ",".join(f"{name}={key}" for name, key in API_KEYS.items())
    result = session.run_tool(
        "monsoondock-load", "--entry", ",".join(cluster.daemons.values()),
        "--workspaces", workspaces, "--rate", LOAD_RATE,
        "--duration_ms", LOAD_MS, "--verify_runs", cluster.ledger.address)
    print(result.stdout + result.stderr, end="")
    return result.returncode


def hold(cluster):
    heading("running; press Ctrl-C to stop")
    line("API key", f"{API_KEYS['sheds-central']} (workspace sheds-central)")
    for name, address in cluster.daemons.items():
        line(name, f"http://{address}")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print()


def main():
    arguments = parse_arguments()
    if not (arguments.bin / "monsoondockd").exists():
        print(f"demo.py: no monsoondockd in {arguments.bin}; build first: "
              "cmake --preset release && cmake --build --preset release",
              file=sys.stderr)
        return 2
    with Session(arguments.bin) as session:
        cluster = start(session)
        entry = show_entry_hosts(cluster)
        complete = show_completion(entry)
        show_payout(cluster)
        show_refusals(entry)
        status = show_load(session, cluster)
        if arguments.hold:
            hold(cluster)
        heading("planned stop")
        for name, process in cluster.processes.items():
            line(name, f"exit status {session.stop(process)}")
    return status if complete else 1


if __name__ == "__main__":
    sys.exit(main())

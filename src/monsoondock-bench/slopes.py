#!/usr/bin/env python3
"""Measures what control costs at several numbers of daemons, with real
processes on loopback, and prints one table: the slopes of docs/CAPACITY.md.

usage: slopes.py [--bin DIR] [--daemons 2,4,8,16] [--seconds N]

For each number of daemons it starts the platform stand-in, sixteen engine
hosts in one group and the daemons, and then measures
  quiet     store calls, peer bytes, CPU and memory while nothing happens
  change    seconds until an accepted settings change is in force everywhere,
            and the store calls it cost
  return    store calls in the ten seconds after all daemons start at once
"""

import argparse
import pathlib
import re
import statistics
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))

from bench import cpu_seconds, resident_kb  # noqa: E402
from cluster import Cluster  # noqa: E402
from session import Session, request, wait_until  # noqa: E402

SETTLE_SECONDS = 8
CHANGES = 5
RETURN_SECONDS = 10


def counts(cluster):
    answer = request(cluster.platform.address, "GET", "/standin/counts")
    return answer.json()


def difference(after, before):
    return {name: after[name] - before[name] for name in after}


def peer_bytes(address):
    """Returns the bytes that a daemon's peer socket sent and received."""
    text = request(address, "GET", "/metrics").text()
    found = re.findall(
        r"^monsoondock_peer_bytes_\w+_total\S* ([0-9.e+]+)$", text, re.M)
    return sum(float(value) for value in found)


def quiet(cluster, seconds):
    pids = [p.popen.pid for p in cluster.processes.values()]
    addresses = list(cluster.daemons.values())
    calls, cpu = counts(cluster), [cpu_seconds(p) for p in pids]
    sent = [peer_bytes(a) for a in addresses]
    time.sleep(seconds)
    calls = difference(counts(cluster), calls)
    cpu = [cpu_seconds(p) - c for p, c in zip(pids, cpu)]
    sent = [peer_bytes(a) - s for a, s in zip(addresses, sent)]
    return {
        "reads_s": (calls["reads"] + calls["watches"]) / seconds,
        "writes_s": calls["writes"] / seconds,
        "core": statistics.mean(cpu) / seconds,
        "peer_b_s": statistics.mean(sent) / seconds,
        "rss_mb": statistics.mean(resident_kb(p) for p in pids) / 1024,
    }


def revision_of(address):
    return request(address, "GET", "/admin/settings").json()["in_force"]


def change(cluster, number):
    """Accepts one change and returns seconds until it is in force on all."""
    tool = cluster.session.run_tool(
        "monsoondockctl", "settings", "set", "resinas/workspaces/ledger",
        "workspace.request_burst", str(1000 + number), "--platform",
        cluster.platform.address)
    assert tool.returncode == 0, tool.stderr
    accepted = time.monotonic()
    head = cluster.objects("settings/head")["settings/head"]["revision"]
    wait_until(lambda: all(revision_of(a) >= head
                           for a in cluster.daemons.values()), "revision")
    return time.monotonic() - accepted


def changes(cluster):
    before = counts(cluster)
    delays = [change(cluster, i) for i in range(CHANGES)]
    calls = difference(counts(cluster), before)
    return {"delay_max_s": max(delays),
            "calls_per_change": sum(calls.values()) / CHANGES}


def measure(bin_folder, number, seconds):
    with Session(bin_folder) as session:
        cluster = Cluster(session)
        cluster.start_upstreams()
        before = counts(cluster)
        started = time.monotonic()
        for i in range(number):
            cluster.start_daemon(f"heredia-{i}")
        cluster.wait_for_group()
        time.sleep(max(0, RETURN_SECONDS - (time.monotonic() - started)))
        start_calls = difference(counts(cluster), before)
        time.sleep(SETTLE_SECONDS)
        result = quiet(cluster, seconds)
        result.update(changes(cluster))
        result["start_calls"] = sum(start_calls.values()) / number
        return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build/release/bin"))
    parser.add_argument("--daemons", default="2,4,8,16")
    parser.add_argument("--seconds", type=int, default=10)
    arguments = parser.parse_args()
    print("| daemons | store reads and watches/s | store writes/s | "
          "core % a daemon | peer bytes/s a daemon | resident MB | "
          "change in force, s | store calls a change | "
          "store calls a start |")
    print("|---|---|---|---|---|---|---|---|---|")
    for number in (int(n) for n in arguments.daemons.split(",")):
        r = measure(arguments.bin, number, arguments.seconds)
        print(f"| {number} | {r['reads_s']:.2f} | {r['writes_s']:.2f} | "
              f"{100 * r['core']:.2f} | {r['peer_b_s']:.0f} | "
              f"{r['rss_mb']:.1f} | {r['delay_max_s']:.2f} | "
              f"{r['calls_per_change']:.1f} | {r['start_calls']:.1f} |",
              flush=True)


if __name__ == "__main__":
    main()

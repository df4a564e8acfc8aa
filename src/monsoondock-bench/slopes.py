#!/usr/bin/env python3
"""Measures the cost of the control plane with several numbers of daemons, as
processes on loopback, and prints one table. The table is the basis of the
slopes in docs/CAPACITY.md.

usage: slopes.py [--bin DIR] [--daemons 2,4,8,16] [--seconds N]

For each number of daemons it starts the platform stand-in, sixteen engine
hosts in one group and the daemons, and then measures
  idle      store calls, peer bytes, CPU and memory without any load
  change    seconds until an accepted settings change is in force on all
            daemons, and the store calls per change
  start     store calls per daemon in the ten seconds after all daemons are
            started at once
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
SETTINGS_CHANGES = 5
START_SECONDS = 10


def store_call_counts(cluster):
    response = request(cluster.platform.address, "GET", "/standin/counts")
    return response.json()


def difference(after, before):
    return {name: after[name] - before[name] for name in after}


def peer_bytes(address):
    """Returns the sum of the bytes that a daemon sent to and received from
    its peers."""
    text = request(address, "GET", "/metrics").text()
    found = re.findall(
        r"^monsoondock_peer_bytes_\w+_total\S* ([0-9.e+]+)$", text, re.M)
    return sum(float(value) for value in found)


def measure_idle(cluster, seconds):
    pids = [p.popen.pid for p in cluster.processes.values()]
    addresses = list(cluster.daemons.values())
    calls, cpu = store_call_counts(cluster), [cpu_seconds(p) for p in pids]
    transferred = [peer_bytes(a) for a in addresses]
    time.sleep(seconds)
    calls = difference(store_call_counts(cluster), calls)
    cpu = [cpu_seconds(p) - c for p, c in zip(pids, cpu)]
    transferred = [peer_bytes(a) - t
                   for a, t in zip(addresses, transferred)]
    return {
        "reads_s": (calls["reads"] + calls["watches"]) / seconds,
        "writes_s": calls["writes"] / seconds,
        "core": statistics.mean(cpu) / seconds,
        "peer_b_s": statistics.mean(transferred) / seconds,
        "rss_mb": statistics.mean(resident_kb(p) for p in pids) / 1024,
    }


def revision_in_force(address):
    return request(address, "GET", "/admin/settings").json()["in_force"]


def apply_change(cluster, number):
    """Sets one value and returns the seconds until it is in force on all
    daemons."""
    tool = cluster.session.run_tool(
        "monsoondockctl", "settings", "set", "resinas/workspaces/ledger",
        "workspace.request_burst", str(1000 + number), "--platform",
        cluster.platform.address)
    assert tool.returncode == 0, tool.stderr
    accepted_at = time.monotonic()
    head = cluster.objects("settings/head")["settings/head"]["revision"]
    wait_until(lambda: all(revision_in_force(a) >= head
                           for a in cluster.daemons.values()),
               "settings revision in force")
    return time.monotonic() - accepted_at


def measure_changes(cluster):
    before = store_call_counts(cluster)
    delays = [apply_change(cluster, i) for i in range(SETTINGS_CHANGES)]
    calls = difference(store_call_counts(cluster), before)
    return {"delay_max_s": max(delays),
            "calls_per_change": sum(calls.values()) / SETTINGS_CHANGES}


def measure(bin_folder, number, seconds):
    with Session(bin_folder) as session:
        cluster = Cluster(session)
        cluster.start_upstreams()
        before = store_call_counts(cluster)
        started = time.monotonic()
        for i in range(number):
            cluster.start_daemon(f"heredia-{i}")
        cluster.wait_for_group()
        time.sleep(max(0, START_SECONDS - (time.monotonic() - started)))
        start_calls = difference(store_call_counts(cluster), before)
        time.sleep(SETTLE_SECONDS)
        result = measure_idle(cluster, seconds)
        result.update(measure_changes(cluster))
        result["start_calls"] = sum(start_calls.values()) / number
        return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=str(ROOT / "build/release/bin"))
    parser.add_argument("--daemons", default="2,4,8,16")
    parser.add_argument("--seconds", type=int, default=10)
    arguments = parser.parse_args()
    print("| daemons | store reads and watches/s | store writes/s | "
          "core % per daemon | peer bytes/s per daemon | resident MB | "
          "change in force, s | store calls per change | "
          "store calls per daemon start |")
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

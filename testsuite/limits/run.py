"""The request rate limit of a workspace at one daemon: a burst is served, the
next request is refused with a retry time, and a retry after that time is
served."""

import time

from cluster import Cluster, bearer
from session import Session, request

# Interval at which RATE admits another request. Long enough that none is
# admitted while the burst is sent.
PERIOD_MS = 10000
RATE = "0.1"
BURST = 3


def set_limit(s, cluster, name, value):
    result = s.run_tool(
        "monsoondockctl", "settings", "set", "resinas/workspaces/ledger",
        f"workspace.{name}", value, "--platform", cluster.platform.address)
    assert result.returncode == 0, result.stderr


def show_refusal(s, answer):
    """Prints a refusal and returns its retry time in seconds."""
    problem = answer.json()
    wait_ms = problem["retry_after_ms"]
    header_seconds = int(answer.headers["retry-after"])
    s.say(f"next: {answer.status} {problem['type']} run {problem['run']}")
    s.say(f"retry time at most two periods: {0 < wait_ms <= 2 * PERIOD_MS}")
    s.say(f"header rounds it up: {header_seconds == -(-wait_ms // 1000)}")
    return wait_ms / 1000


def show_unlimited_paths(s, entry):
    for path in ("/v1/models", "/v1/entry-hosts"):
        answer = request(entry, "GET", path, headers=bearer("ledger"))
        s.say(f"{path}: {answer.status}")
    for path in ("/healthz", "/metrics", "/admin/members"):
        s.say(f"{path}: {request(entry, 'GET', path).status}")


def main():
    with Session() as s:
        cluster = Cluster(s, hosts=0)
        cluster.start_upstreams()
        set_limit(s, cluster, "request_rate", RATE)
        set_limit(s, cluster, "request_burst", str(BURST))
        entry = cluster.start_daemon("heredia-1")
        show_unlimited_paths(s, entry)
        for number in range(BURST):
            answer = cluster.pay(entry, f"payout-{number}", "lot 7")
            s.say(f"payout {number}: {answer.status}")
        wait = show_refusal(s, cluster.pay(entry, "payout-next", "lot 7"))
        show_unlimited_paths(s, entry)
        s.say(f"runs: {cluster.runs()}")
        time.sleep(wait)
        answer = cluster.pay(entry, "payout-next", "lot 7")
        s.say(f"after the retry time: {answer.status}")
        s.say(f"runs: {cluster.runs()}")


main()

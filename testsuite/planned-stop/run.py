"""Planned stops: a stream in progress is completed, callers that follow the
list of entry hosts are never refused, a rolling restart of all daemons under
load neither cuts nor refuses a request, and further stop signals change
nothing."""

import json
import signal
import threading
import time

from cluster import API_KEYS, Cluster, bearer
from session import (
    ConnectionDropped, Session, chat, parse_stream, request, wait_until)

COMPLETIONS = "/v1/chat/completions"
DAEMONS = 4
LOAD_MS = 12000
LOAD_RATE = 30
STREAMS = 3
SIGNAL_INTERVAL_SECONDS = 0.05


def stream_in_background(address, tokens):
    """Starts a completion in a thread. Returns the thread and the list to which
    it appends the response, unless the connection is dropped."""
    answers = []
    body = chat("a long lot description", tokens, model="copal-llm")

    def run():
        try:
            answers.append(request(address, "POST", COMPLETIONS, body,
                                   bearer("sheds-central"), timeout=60))
        except ConnectionDropped:
            pass

    thread = threading.Thread(target=run)
    thread.start()
    return thread, answers


def started_requests(cluster):
    head = cluster.engine.addresses[0]
    return request(head, "GET", "/standin/counts").json()["started"]


def stop_with_a_stream(session, cluster):
    session.say("== a planned stop with a stream in progress")
    name = "heredia-1"
    address, process = cluster.daemons[name], cluster.processes[name]
    started_before = started_requests(cluster)
    thread, answers = stream_in_background(address, 1000)
    wait_until(lambda: started_requests(cluster) > started_before,
               "the stream to start")
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: request(address, "GET", "/readyz").status == 503,
               "draining")
    answer = request(address, "POST", COMPLETIONS,
                     chat("hello", 2, model="copal-llm"),
                     bearer("sheds-central"))
    session.say("a caller that still has the address is served: "
                f"{answer.status}, complete: {parse_stream(answer.body)[1]}")
    thread.join()
    text, complete = parse_stream(answers[0].body)
    session.say(f"the stream: complete: {complete}, "
                f"tokens: {len(text.split())}")
    session.say(f"exit status: {process.wait()}")


def repeated_signals(session, cluster):
    session.say("== stop signals after a SIGTERM")
    name = "heredia-2"
    address, process = cluster.daemons[name], cluster.processes[name]
    started_before = started_requests(cluster)
    streams = [stream_in_background(address, 1000) for _ in range(STREAMS)]
    wait_until(lambda: started_requests(cluster) >= started_before + STREAMS,
               "the streams to start")
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
        process.send_signal(number)
        time.sleep(SIGNAL_INTERVAL_SECONDS)
    for number, (thread, answers) in enumerate(streams, 1):
        thread.join()
        complete = bool(answers) and parse_stream(answers[0].body)[1]
        session.say(f"stream {number}: complete: {complete}")
    session.say(f"exit status: {process.wait()}")
    log = process.log.read_text()
    session.say("signals logged as repeated: "
                f"{log.count('event=stop_signal_repeated')}")


def restart(cluster, name):
    """Restarts a daemon with the same addresses, as a supervisor does."""
    process = cluster.processes[name]
    assert cluster.session.stop(process) == 0
    cluster.restart_daemon(name)


def rolling_restart(session, cluster):
    session.say("== rolling restart of all daemons under load")
    workspaces = ",".join(f"{name}={key}" for name, key in API_KEYS.items())
    results = []

    def load():
        results.append(session.run_tool(
            "monsoondock-load", "--entry", ",".join(cluster.daemons.values()),
            "--workspaces", workspaces, "--rate", LOAD_RATE, "--duration_ms",
            LOAD_MS, "--verify_runs", cluster.ledger.address, "--output",
            "json", timeout=90))

    thread = threading.Thread(target=load)
    thread.start()
    for name in list(cluster.daemons):
        restart(cluster, name)
    thread.join()
    report = json.loads(results[0].stdout)
    totals = report["all"]
    session.say(f"all sent requests completed: "
                f"{totals['sent'] == totals['completed']}")
    for outcome in ("refused", "broken", "wrong"):
        session.say(f"{outcome}: {totals[outcome]}")
    for group in report["refusals"] + report["breaks"] + report["wrongs"]:
        session.say(f"{group['reason']}: {group['count']}")
    session.say(f"exit status of the load tool: {results[0].returncode}")


def main():
    with Session() as session:
        cluster = Cluster(session, hosts=4, hosts_per_group=4,
                          entry_host_ttl="500ms")
        cluster.start_upstreams()
        for number in range(1, DAEMONS + 1):
            cluster.start_daemon(f"heredia-{number}")
        cluster.wait_for_members()
        cluster.wait_for_group()
        rolling_restart(session, cluster)
        stop_with_a_stream(session, cluster)
        repeated_signals(session, cluster)


main()

"""Planned stops: a stream in progress is completed, callers that follow the
list of entry hosts are never refused, a rolling restart of all daemons under
load neither cuts nor refuses a request, further stop signals change nothing,
a request that has begun to arrive is answered, and one that cannot end before
the shutdown timeout gets a response."""

import json
import signal
import socket
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


def half_a_request(session, cluster):
    session.say("== a request whose second half follows later")
    name = "heredia-3"
    process = cluster.processes[name]
    host, port = cluster.daemons[name].rsplit(":", 1)
    answer = b""
    with socket.create_connection((host, int(port)), timeout=10) as caller:
        caller.sendall(b"GET /v1/models HTTP/1.1\r\nHost: heredia\r\n")
        time.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        # Beyond the time for which callers keep the address of the daemon.
        time.sleep(1)
        try:
            caller.sendall(b"Authorization: Bearer "
                           + API_KEYS["ledger"].encode() + b"\r\n\r\n")
            while part := caller.recv(4096):
                answer += part
        except ConnectionError:
            pass
    status = answer.split(b" ")[1].decode() if answer else "none"
    session.say(f"answer: {status}")
    session.say(f"exit status: {process.wait()}")


def complete_without_stream(address, answers):
    """Sends a completion that outlasts the shutdown timeout and appends the
    type of its outcome to answers."""
    body = chat("a long lot description", 10000, stream=False,
                model="copal-llm")
    try:
        answer = request(address, "POST", COMPLETIONS, body,
                         bearer("sheds-central"), timeout=60)
        answers.append(f"{answer.status} {answer.json()['type']} "
                       f"run: {answer.json()['run']}")
    except ConnectionDropped:
        answers.append("dropped")


def end_of_the_shutdown(session, cluster):
    session.say("== requests that outlast the shutdown timeout")
    cluster.shutdown = "500ms"
    name = "heredia-5"
    address = cluster.start_daemon(name)
    cluster.wait_for_group()
    process = cluster.processes[name]
    started_before = started_requests(cluster)
    early, late = [], []
    thread = threading.Thread(
        target=complete_without_stream, args=(address, early))
    thread.start()
    wait_until(lambda: started_requests(cluster) > started_before,
               "the completion to start")
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: request(address, "GET", "/readyz").status == 503,
               "draining")
    complete_without_stream(address, late)
    thread.join()
    session.say(f"in progress at SIGTERM: {early[0]}")
    session.say(f"sent after SIGTERM: {late[0]}")
    session.say(f"exit status: {process.wait()}")


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
        half_a_request(session, cluster)
        for name in ("heredia-1", "heredia-2", "heredia-3"):
            del cluster.daemons[name]
        end_of_the_shutdown(session, cluster)


main()

"""Requests to entry daemons on the users' platform, and the output of
`monsoondockctl explain-request` for them."""

import re

from session import ConnectionDropped, request, wait_until


def call(daemon, request_id, path, key="k1", body="", method="POST",
         **headers):
    """Sends a request to the caller address of a daemon."""
    return request(
        daemon.address("caller"), method, path, body,
        {"Host": "sheds.example", "X-Request-Id": request_id,
         "X-Deadline-Ms": "3500", "Authorization": f"Bearer {key}", **headers})


def chat(daemon, request_id, **headers):
    return call(daemon, request_id, "/chat/1", **{
        "X-Model-Name": "m1", "X-Token-Counts": "100,60", **headers})


def status(daemon, request_id):
    """Sends a request of the kind that may be repeated."""
    return call(daemon, request_id, "/status/1", method="GET")


def wait_until_unused(daemons, worker):
    """Waits until some requests to the daemons don't reach the worker."""
    def is_unused():
        before = sum(worker.runs.values())
        for d in daemons:
            for i in range(20):
                status(d, f"probe-{i}")
        return sum(worker.runs.values()) == before

    wait_until(is_unused, f"the last request to {worker.name}")


def event_ids(text):
    return re.findall(r"^id: (\d+)$", text, re.MULTILINE)


def is_ready(daemon):
    try:
        return request(
            daemon.address("ready"), "GET", "/ready").status == 200
    except ConnectionDropped:
        return False


def serves(daemon):
    """Returns whether the daemon is ready and a group serves its requests."""
    return is_ready(daemon) and chat(daemon, "warm-up").status == 200


def explain(session, request_id, daemons, related_events=()):
    """Prints the log events of a request as explain-request lists them, and
    whether it lists the related events too. Waits until these are logged."""
    def logged(event):
        return any(f"event={event}" in open(d.stdout).read() for d in daemons)

    for event in related_events:
        wait_until(lambda e=event: logged(e), f"{event} in the logs")
    result = session.run_tool(
        "monsoondockctl", "explain-request", request_id,
        *[d.stdout for d in daemons])
    own, _, related = result.stdout.partition("related events")
    for line in own.splitlines():
        event = re.search(r"event=(\S+)", line)
        outcome = re.search(r"outcome=(\S+)", line)
        sends = re.search(r"sends?=(\d+)", line)
        if event:
            session.say(f"explained: {event[1]} outcome={outcome[1]} "
                        f"sends={sends[1]}")
    for event in related_events:
        state = "listed" if f"event={event}" in related else "missing"
        session.say(f"related event: {event} {state}")
    session.say(f"explain-request: exit status {result.returncode}")

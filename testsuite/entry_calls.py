"""What sessions on the users' platform ask of entry daemons, and how they show
what the logs tell of a request."""

import re

from session import Dropped, request, wait_until


def call(daemon, request_id, path, key="k1", body="", method="POST", **more):
    """Sends a caller's request."""
    return request(
        daemon.address("caller"), method, path, body,
        {"Host": "sheds.example", "X-Request-Id": request_id,
         "X-Deadline-Ms": "3500", "Authorization": f"Bearer {key}", **more})


def chat(daemon, request_id, **more):
    return call(daemon, request_id, "/chat/1", **{
        "X-Model-Name": "m1", "X-Token-Counts": "100,60", **more})


def event_ids(text):
    return re.findall(r"^id: (\d+)$", text, re.MULTILINE)


def is_ready(daemon):
    try:
        return request(
            daemon.address("ready"), "GET", "/ready").status == 200
    except Dropped:
        return False


def serves(daemon):
    """Returns true once a group takes the daemon's requests."""
    return is_ready(daemon) and chat(daemon, "warm-up").status == 200


def explain(session, request_id, daemons, beside=()):
    """Shows the events that the logs tell of a request, and which of the
    events beside it, that are waited for, are told with them."""
    def logged(event):
        return any(f"event={event}" in open(d.stdout).read() for d in daemons)

    for event in beside:
        wait_until(lambda e=event: logged(e), f"{event} in the logs")
    result = session.run_tool(
        "monsoondockctl", "explain-request", request_id,
        *[d.stdout for d in daemons])
    story, _, around = result.stdout.partition("related events")
    for line in story.splitlines():
        event = re.search(r"event=(\S+)", line)
        outcome = re.search(r"outcome=(\S+)", line)
        sends = re.search(r"sends?=(\d+)", line)
        if event:
            session.say(f"explained: {event[1]} outcome={outcome[1]} "
                        f"sends={sends[1]}")
    for event in beside:
        told = "told" if f"event={event}" in around else "missing"
        session.say(f"beside it: {event} {told}")
    session.say(f"explain-request: exit status {result.returncode}")

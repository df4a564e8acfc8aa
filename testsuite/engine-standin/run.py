"""The engine stand-in: groups, generations, streams and faults."""

import json
import socket
import threading
import time

from session import (
    ConnectionDropped, Session, chat, parse_stream, request, wait_until)

COMPLETIONS = "/v1/chat/completions"


def order_load(engine, group, generation, names):
    addresses = [engine.hosts[name] for name in names]
    answers = []
    for rank, address in enumerate(addresses):
        body = {"order": "load", "group": group, "generation": generation,
                "deployment": "copal-llm", "rank": rank, "hosts": addresses}
        answers.append(request(address, "POST", "/v1/orders", body))
    return answers


def status(address):
    return request(address, "GET", "/v1/status").json()


def counts(address):
    return request(address, "GET", "/standin/counts").json()


def wait_until_ready(engine, names):
    for name in names:
        address = engine.hosts[name]
        wait_until(lambda: status(address)["phase"] == "ready", "ready host")


def show_stream(s, label, address, body, **headers):
    named = {k.replace("_", "-"): str(v) for k, v in headers.items()}
    try:
        answer = request(address, "POST", COMPLETIONS, body, headers=named)
    except ConnectionDropped as error:
        text, complete = parse_stream(error.partial)
        s.say(f"{label}: dropped, text {text!r}, complete {complete}")
        return
    if answer.status != 200:
        s.say(f"{label}: {answer.status} {answer.text()}")
        return
    text, complete = parse_stream(answer.body)
    s.say(f"{label}: text {text!r}, complete {complete}")


def show_forming(s, engine, head):
    names = ["h0", "h1", "h2"]
    show_stream(s, "before any order", head, chat("a"))
    for answer in order_load(engine, "g1", 5, names):
        s.say(f"order: {answer.status} {answer.text()}")
    wait_until_ready(engine, names)
    s.show_request("head", head, "GET", "/v1/status")
    s.show_request("member", engine.hosts["h1"], "GET", "/v1/status")
    s.show_request("other", engine.hosts["h3"], "GET", "/v1/status")
    old = order_load(engine, "g1", 4, names)[0]
    s.say(f"old order: {old.status} {old.text()}")


def show_answers(s, engine, head):
    s.show_request("streamed", head, "POST", COMPLETIONS, chat("a", 2),
                   headers={"X-Request-Id": "r1"})
    s.show_request("not streamed", head, "POST", COMPLETIONS,
                   chat("a", 2, stream=False), headers={"X-Request-Id": "r2"})
    show_stream(s, "resumed", head, chat("a", 4), X_Resume_From=2)
    show_stream(s, "same generation", head, chat("a", 1), X_Generation=5)
    show_stream(s, "old generation", head, chat("a", 1), X_Generation=4)
    show_stream(s, "later generation", head, chat("a", 1), X_Generation=6)
    show_stream(s, "other group", head, chat("a", 1), X_Group="g2")
    show_stream(s, "at a member", engine.hosts["h1"], chat("a"))
    show_stream(s, "malformed", head, {"messages": []})
    s.say(f"prefix hits: {counts(head)['prefix_hits']}")


def show_cancels(s, head):
    s.fault(head, token_ms=100)
    results = []
    thread = threading.Thread(target=lambda: results.append(
        request_is_dropped(
            head, chat("b", 1000), {"X-Request-Id": "r3"})))
    thread.start()
    wait_until(lambda: status(head)["running"] == 1, "running request")
    s.show_request("cancel", head, "DELETE", "/v1/requests/r3")
    s.show_request("cancel again", head, "DELETE", "/v1/requests/r4")
    thread.join()
    s.say(f"cancelled stream dropped: {results[0]}")
    before = counts(head)["cancelled"]
    disconnect_early(head, chat("c", 1000))
    wait_until(lambda: counts(head)["cancelled"] == before + 1, "cancel")
    s.say(f"after a disconnect: running {status(head)['running']}")
    s.fault(head, token_ms=1)


def request_is_dropped(address, body, headers=None):
    try:
        request(address, "POST", COMPLETIONS, body, headers=headers)
    except ConnectionDropped:
        return True
    return False


def disconnect_early(address, body):
    """Sends a request and closes the connection after the first bytes of the
    response."""
    host, port = address.rsplit(":", 1)
    text = json.dumps(body).encode()
    head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\n"
    head += f"Content-Length: {len(text)}\r\n\r\n"
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(head.encode() + text)
        connection.recv(100)


def show_priorities(s, head):
    """With one slot, a queued interactive request overtakes a queued report."""
    finished = []

    def run(label, tokens, priority):
        request_is_dropped(
            head, chat(label, tokens),
            {"X-Priority": priority, "X-Request-Id": label})
        finished.append(label)

    requests = [("long", 100000, "interactive"), ("report", 2, "report"),
                ("interactive", 2, "interactive")]
    threads = []
    for position, arguments in enumerate(requests):
        thread = threading.Thread(target=run, args=arguments)
        thread.start()
        threads.append(thread)
        wait_until(lambda: load(head) == position + 1, "queued request")
    s.fault(head, token_ms=20)
    request(head, "DELETE", "/v1/requests/long")
    for thread in threads:
        thread.join()
    s.say(f"order of completion: {finished}")
    s.fault(head, token_ms=1)


def load(address):
    now = status(address)
    return now["running"] + now["queued"]


def show_faults(s, engine, head):
    s.fault(head, cut_after=2)
    show_stream(s, "cut stream", head, chat("d", 4))
    s.fault(head, cut_after=0)
    start = time.monotonic()
    s.fault(head, pause_ms=100)
    status(head)
    s.say(f"paused: {time.monotonic() - start >= 0.1}")
    s.fault(engine.hosts["h2"], dead=True)
    s.show_request("dead member", engine.hosts["h2"], "GET", "/v1/status")
    show_stream(s, "head without a member", head, chat("e"))
    s.fault(engine.hosts["h2"], dead=False)
    s.show_request("member back", engine.hosts["h2"], "GET", "/v1/status")
    order_load(engine, "g1", 6, ["h0", "h1", "h2"])
    wait_until_ready(engine, ["h0", "h1", "h2"])
    show_stream(s, "loaded again", head, chat("e"))
    s.fault(head, crash_on="poison")
    show_stream(s, "crash", head, chat("some poison here"))
    show_stream(s, "dead head", head, chat("f"))


def show_unfenced(s, engine):
    address = engine.hosts["h3"]
    order_load(engine, "g2", 9, ["h3"])
    s.fault(address, ignore_generation=True)
    old = order_load(engine, "g1", 4, ["h3"])[0]
    s.say(f"old order, unfenced: {old.status} {old.text()}")
    wait_until_ready(engine, ["h3"])
    show_stream(s, "old request, unfenced", address, chat("g", 1),
                X_Group="g0", X_Generation=1)
    body = {"order": "unload", "group": "g1", "generation": 10}
    s.show_request("unload", address, "POST", "/v1/orders", body)
    s.show_request("unloaded", address, "GET", "/v1/status")


def main():
    with Session() as s:
        engine = s.start(
            "engine", "monsoondock-engine-standin", "--count", 4,
            "--slots", 1, "--token-ms", 1, "--first-token-ms", 4,
            listeners=4)
        head = engine.hosts["h0"]
        show_forming(s, engine, head)
        show_answers(s, engine, head)
        show_cancels(s, head)
        show_priorities(s, head)
        show_faults(s, engine, head)
        show_unfenced(s, engine)
        s.show_request("counts", engine.hosts["h3"], "GET", "/standin/counts")
        s.say(f"exit status: {s.stop(engine)}")


main()

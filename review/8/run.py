"""A rolling stop of two daemons, and a sound worker that is silent for a second.
See claim.txt."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common_2 import (  # noqa: E402
    STABLE_WINDOW_S, TROUBLE, main, platform, send, sessions, start_daemons)

GRACE_S = 8.0
EVENT_S = 0.1
# Events of a short stream, and of the one that the first daemon has to finish.
SHORT, LONG = 4, 74
# The pause of one worker, from this time after the second daemon's SIGTERM.
SILENT_FROM_S, SILENT_S = 6.42, 1.2
# Time between two requests.
PERIOD_S = 0.03


class Engine(platform.EngineWorker):
    """Its streams have as many events as the request asks for, 5 tokens each.
    It may fall silent for a moment."""

    def __init__(self, fleet, name, domain):
        self.fleet = fleet
        super().__init__(fleet.store, name, "llm", "z1", domain)

    def wait(self, seconds):
        time.sleep(seconds)
        begin, end, worker = self.fleet.silence
        now = time.monotonic()
        if worker is self and begin <= now < end:
            time.sleep(end - now)

    def serve(self, handler, _body):
        request_id = handler.headers["X-Request-Id"]
        if not self.is_open_head():
            handler.work.end("rejected")
            handler.answer(503, {}, [("X-Request-Id", request_id),
                                     ("X-Not-Executed", "1")])
            return
        events = int(handler.headers["X-Token-Counts"].split(",")[1]) // 5
        state = self.fleet.work[request_id] = {"worker": self.name,
                                               "ended": None}
        handler.send_response(200)
        for name, value in self.seal_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        try:
            for number in range(1, events + 1):
                event = self.event(number)
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                if number < events:
                    self.wait(EVENT_S)
            handler.wfile.write(b"0\r\n\r\n")
            state["ended"] = "whole"
        except OSError:
            state["ended"] = "the daemon closed the channel"
            handler.close_connection = True


class Fleet:
    def __init__(self, store):
        self.store = store
        self.work = {}
        self.silence = (0, 0, None)
        self.engines = [Engine(self, f"e{i}", f"d{i // 2}") for i in range(4)]


def run(session, record):
    store = platform.Store()
    config = platform.configuration(3, ["k1"], routes=("chat",),
                                    timeout_ms=8000)
    # A stream that may not be resumed runs once at most.
    config["routes"][0]["stream_resume"] = False
    config["routes"][0]["attempts"] = 1
    store.put("config", "main", config)
    fleet = Fleet(store)
    first, second = start_daemons(session, store, ["a", "b"])
    first.seeds = [second.address("peer")]
    answers = {}

    def chat(daemon, request_id, events):
        sent = time.monotonic()
        status, headers, body = send(
            daemon, request_id, "/chat/1", method="POST", body=request_id,
            deadline_ms=8000, headers={
                "X-Model-Name": "m1", "X-Token-Counts": f"100,{events * 5}",
                "X-Length-Hint": str(events * 5)})
        whole = status == 200 and body.count(b"id: ") == events
        answers[request_id] = {
            "sent": sent, "status": status, "whole": whole,
            "read": status == 200 or request_id in fleet.work}
        return whole

    sessions.wait_until(
        lambda: all(d.is_ready() and chat(d, f"warm-{time.time_ns()}", SHORT)
                    for d in (first, second)), "the daemons", 30)
    time.sleep(STABLE_WINDOW_S + 1)
    for number in range(10):
        chat((first, second)[number % 2], f"before-{number}", SHORT)
    threading.Thread(target=chat, args=(first, "long", LONG),
                     daemon=True).start()
    time.sleep(0.1)
    start = time.monotonic()
    record.say("SIGTERM to a, which has a stream of 7.4 s")
    first.popen.send_signal(signal.SIGTERM)

    def start_again():
        record.say(f"a ended with {first.popen.wait(20)}")
        first.start(first_start=False)

    restart = threading.Thread(target=start_again, daemon=True)
    restart.start()
    time.sleep(start + 1.0 - time.monotonic())
    stopped = time.monotonic()
    record.say("SIGTERM to b")
    second.popen.send_signal(signal.SIGTERM)
    head = next(e for e in fleet.engines if e.is_open_head())
    if TROUBLE:
        fleet.silence = (stopped + SILENT_FROM_S,
                         stopped + SILENT_FROM_S + SILENT_S, head)
    number = 0
    listed = 0
    threads = []
    while second.popen.poll() is None and \
            time.monotonic() < stopped + GRACE_S + 1:
        number += 1
        if number % 10 == 1:
            try:
                addresses = sessions.request(
                    second.address("directory"), "GET",
                    "/resolve?name=sheds.example&region=r&zone=z1",
                    timeout=2).json().get("addresses", [])
            except (sessions.ConnectionDropped, OSError, ValueError):
                addresses = []
            listed = second.address("caller") in addresses
        if listed:
            threads.append(threading.Thread(
                target=chat, args=(second, f"chat-{number}", SHORT)))
            threads[-1].start()
        time.sleep(PERIOD_S)
    record.say(f"b ended {time.monotonic() - stopped:.3f} s after its SIGTERM "
               f"with {second.popen.wait(20)}")
    for thread in [*threads, restart]:
        thread.join(15)
    lost = 0
    for request_id, a in answers.items():
        if not request_id.startswith("chat-"):
            continue
        after = a["sent"] - stopped
        work = fleet.work.get(request_id)
        record.say(f"{request_id} sent {after:.3f} s after the SIGTERM: status "
                   f"{a['status']}{' whole' if a['whole'] else ''}; "
                   f"worker: {work}")
        # A failure with a status is an answer; a channel that ends inside the
        # answer, once the request was passed on, is none.
        if after > 3.0 and work and not a["whole"] and \
                a["status"] in (200, 0):
            lost += 1
            record.say(f"LOST: {request_id}")
    record.say(f"requests taken by b over 3 s after its SIGTERM, passed on to a "
               f"worker and cut: {lost}")
    return lost > 0


main(pathlib.Path(__file__).resolve().parent, run)

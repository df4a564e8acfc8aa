"""Stand-ins of workers that take time: engines whose streams last as long as
their tokens take, and ledgers."""

import random
import time

import early_ends
from users_platform import EngineWorker, PlainWorker

# A step of the engine in the configuration, with all slots busy.
SECONDS_PER_TOKEN = 0.0044
LONGEST_PAUSE_SECONDS = 0.3
LONGEST_PAYOUT_SECONDS = 0.8


class SoakEngine(EngineWorker):
    EVENTS = 30

    def __init__(self, *arguments, on_fall=lambda: None):
        self.early_ends = []
        self.on_fall = on_fall
        super().__init__(*arguments)

    def stream(self, handler, first):
        with self.lock:
            end = self.early_ends.pop(0) if self.early_ends else None
        if end is None:
            super().stream(handler, first)
            return
        handler.close_connection = True
        self.open_streams.add(handler)
        try:
            early_ends.stream_early(self, handler, first, end)
        except OSError:
            self.leave(handler)
        finally:
            self.open_streams.discard(handler)

    def wait_after_event(self, handler, number):
        handler.work.written += self.event(number).decode()
        tokens = int(handler.headers["X-Token-Counts"].split(",")[1])
        pauses = stream_pauses(
            handler.headers["X-Request-Id"], tokens * SECONDS_PER_TOKEN)
        time.sleep(pauses[number - 1])

    def crash(self, handler):
        # As of a process that is killed, the listener goes before connections
        # end in order.
        self.on_fall()
        super().crash(handler)


class SoakLedger(PlainWorker):
    def __init__(self, *arguments):
        self.early_ends = []
        super().__init__(*arguments)

    def serve(self, handler, body):
        request_id = handler.headers["X-Request-Id"]
        time.sleep(random.Random(request_id).uniform(
            0, LONGEST_PAYOUT_SECONDS))
        if handler.command == "GET":
            body = request_id.encode()
        super().serve(handler, body)

    def answer_run(self, handler, body):
        with self.lock:
            end = self.early_ends.pop(0) if self.early_ends else None
        if end is None:
            super().answer_run(handler, body)
            handler.work.written = body.decode()
        else:
            early_ends.answer_early(self, handler, body, end)


def whole_body(kind, request_id):
    """Returns the body of a whole response to a request of a kind of Call."""
    if kind == "chat":
        return "".join(f"id: {number}\ndata: piece {number}\n\n"
                       for number in range(1, SoakEngine.EVENTS + 1))
    return f"done {request_id}"


def stream_pauses(request_id, seconds):
    """Returns the pause after each event of a stream. They are uneven, and
    depend on the request only, so that a run at another host goes on alike."""
    generator = random.Random(request_id)
    mean = seconds / SoakEngine.EVENTS
    pauses = [min(generator.uniform(0, 2 * mean), LONGEST_PAUSE_SECONDS)
              for _ in range(SoakEngine.EVENTS)]
    if seconds > 1:
        pauses[generator.randrange(SoakEngine.EVENTS)] = LONGEST_PAUSE_SECONDS
    return pauses

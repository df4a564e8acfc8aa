"""Stand-ins of workers that take time: engines whose streams last as long as
their tokens take, and ledgers."""

import random
import time

from users_platform import EngineWorker, PlainWorker

# A step of the engine in the configuration, with all slots busy.
SECONDS_PER_TOKEN = 0.0044
LONGEST_PAUSE_SECONDS = 0.3
LONGEST_PAYOUT_SECONDS = 0.8


class SoakEngine(EngineWorker):
    EVENTS = 30

    def wait_after_event(self, handler, number):
        tokens = int(handler.headers["X-Token-Counts"].split(",")[1])
        pauses = stream_pauses(
            handler.headers["X-Request-Id"], tokens * SECONDS_PER_TOKEN)
        time.sleep(pauses[number - 1])


class SoakLedger(PlainWorker):
    def serve(self, handler, body):
        time.sleep(random.Random(handler.headers["X-Request-Id"]).uniform(
            0, LONGEST_PAYOUT_SECONDS))
        super().serve(handler, body)


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

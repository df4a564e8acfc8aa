"""Troubles of hosts that all daemons have to answer together: a part of prompts
under which engines crash, and hosts that name a limit of requests. Checks that
daemons in touch send no more than the users' rules allow."""

import itertools
import threading
import time

from session import ConnectionDropped, request

# Figures of the users' rules.
KNOWN_CRASHES = 5
LATE_REQUESTS = 3
SETTLE_SECONDS = 3
WINDOW_SECONDS = 4
EXCESS = 1.5
FURTHER_REQUESTS = 5
# Requests that a daemon may send a limited host before it has heard of the
# limit, and for its new share; one that was disturbed is not counted by the
# users, but can't be told apart at the host.
DISTURBED_REQUESTS = 3

CRASHING_SECONDS = 5
CRASHING_PERIOD_SECONDS = 0.2


class CrashingPart:
    """A part of prompts that crashes the engines which begin to write on it."""

    numbers = itertools.count(1)

    def __init__(self, run):
        self.run = run
        self.part = f"bad{next(self.numbers):05x}"
        self.crashes = []
        # Requests with the part that reached an engine: id and time.
        self.arrivals = []
        # Daemon and time of sending, by request id.
        self.sent = {}

    def matches(self, prompt_parts):
        return f"{self.part}:" in prompt_parts

    def send_requests(self, generator):
        end = time.monotonic() + CRASHING_SECONDS
        threads = []
        while time.monotonic() < end:
            threads.append(threading.Thread(
                target=self.send, args=(generator.randrange(
                    self.run.DAEMONS), len(self.sent))))
            threads[-1].start()
            time.sleep(CRASHING_PERIOD_SECONDS)
        for thread in threads:
            thread.join()

    def send(self, number, count):
        name = f"x{self.part}-{count}"
        self.sent[name] = (number, time.monotonic())
        try:
            request(
                self.run.daemons[number].address("caller"), "POST", "/chat/1",
                name, {
                    "Host": "sheds.example", "Authorization": "Bearer k1",
                    "X-Request-Id": name, "X-Deadline-Ms": "3000",
                    "X-Model-Name": "m1", "X-Token-Counts": "100,60",
                    "X-Prompt-Prefix": f"a1:40,{self.part}:40,{count:x}:20"},
                timeout=6)
        except (ConnectionDropped, OSError):
            pass

    def violations(self):
        if len(self.crashes) < KNOWN_CRASHES:
            return []
        known = sorted(self.crashes)[KNOWN_CRASHES - 1]
        late = []
        for name, at in self.arrivals:
            number, sent = self.sent[name]
            if at > known + SETTLE_SECONDS and not self.run.log.was_disturbed(
                    number, sent - SETTLE_SECONDS, at):
                late.append(name)
        if len(late) <= LATE_REQUESTS:
            return []
        return [f"part {self.part}: {len(late)} requests after "
                f"{KNOWN_CRASHES} crashes: {late[:8]}"]


class LimitedHost:
    """A time in which a host names a limit."""

    def __init__(self, run, worker, limit):
        self.run = run
        self.worker = worker
        self.limit = limit
        self.first_named = None
        self.ended = None
        self.arrivals = []

    def violations(self):
        if self.first_named is None:
            return []
        counted = sorted(a for a in self.arrivals
                         if a >= self.first_named + SETTLE_SECONDS)
        for begin in counted:
            end = begin + WINDOW_SECONDS
            in_window = sum(1 for a in counted if begin <= a < end)
            disturbed = self.run.log.disturbances(
                begin - SETTLE_SECONDS, end)
            allowed = (EXCESS * self.limit * WINDOW_SECONDS
                       + FURTHER_REQUESTS + DISTURBED_REQUESTS * disturbed)
            if in_window > allowed:
                return [f"{self.worker.name}: {in_window} requests in "
                        f"{WINDOW_SECONDS} s with a limit of {self.limit}, "
                        f"{disturbed} daemons disturbed"]
        return []

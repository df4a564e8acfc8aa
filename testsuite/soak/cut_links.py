"""A time in which daemons have no links to workers, and the check that their
callers are served nearly as often as those of the others."""

import time

# Figures of the users' rule.
SETTLE_SECONDS = 3
LEAST_RATIO = 2 / 3
FAILURES = 10
FAILED_SHARE = 1 / 50

SERVED = 200


class CutLinks:
    """Cuts the links of some daemons to all workers, or to some of them."""

    def __init__(self, run, numbers, mode, workers):
        self.run = run
        self.numbers = numbers
        self.mode = mode
        self.workers = workers
        self.begun = None
        self.ended = None
        self.fault = None

    def cut(self, seconds):
        self.fault = self.run.log.begin_fault(False)
        self.begun = time.monotonic()
        end = self.begun + seconds
        while time.monotonic() < end:
            # Daemons may be started meanwhile, and workers come.
            for number in self.numbers:
                self.run.links[number].cut(self.mode, self.workers())
            time.sleep(0.1)
        for number in self.numbers:
            self.run.links[number].restore()
        self.ended = time.monotonic()
        self.run.log.end_fault(self.fault)

    def counts(self, call):
        """Returns whether a call is a first try in the cut at a daemon that
        had no other fault, start or stop near it."""
        first = self.begun + SETTLE_SECONDS
        if call.sent is None or not first <= call.begun <= self.ended:
            return False
        log = self.run.log
        since = call.begun - SETTLE_SECONDS
        return not (
            any(n == call.daemon and at >= since and at <= self.ended
                for n, at in [*log.starts, *log.stops])
            or any(f is not self.fault and f[0] <= self.ended
                   and f[1] >= since for f in log.faults))

    def violations(self):
        served = {True: 0, False: 0}
        sent = {True: 0, False: 0}
        for call in self.run.calls:
            if self.counts(call):
                cut = call.daemon in self.numbers
                sent[cut] += 1
                served[cut] += call.status == SERVED
        failed = sum(sent.values()) - sum(served.values())
        if not sent[True] or not sent[False] or (
                failed <= FAILURES + FAILED_SHARE * sum(sent.values())):
            return []
        ratio = served[True] / sent[True]
        others = served[False] / sent[False]
        if ratio >= LEAST_RATIO * others:
            return []
        return [f"links cut ({self.mode}) of n{self.numbers}: served "
                f"{served[True]} of {sent[True]}, the others {served[False]} "
                f"of {sent[False]}"]


def cut_links(run, generator):
    """Daemons lose their links to workers in one of the ways in which links
    fail; the cut may come and go."""
    if not run.links_lock.acquire(blocking=False):
        return
    try:
        numbers = generator.sample(
            range(run.DAEMONS), generator.randint(1, run.DAEMONS - 1))
        mode = generator.choice(["reset", "silent", "new_refused"])
        share = generator.choice([1, 1, 1, 0.5])
        salt = generator.random()

        def workers():
            return [w for w in [*run.engines, *run.ledgers]
                    if share == 1 or hash((w.name, salt)) % 2]

        for _ in range(generator.choice([1, 1, 3])):
            links = CutLinks(run, numbers, mode, workers)
            run.troubles.append(links)
            links.cut(generator.uniform(0.4, 7.0))
            time.sleep(generator.uniform(0.0, 0.5))
    finally:
        run.links_lock.release()

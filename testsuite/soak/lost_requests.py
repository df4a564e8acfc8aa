"""Finds requests that a daemon lost: it had read them whole, and the connection
ended without a whole answer around planned work, with no unplanned fault near
and no reason that excuses it."""

import collections
import dataclasses
import datetime
import time

# A close may cross a request; later than this after its last byte, it doesn't.
CROSSING_SECONDS = 0.2
# An unplanned fault excuses requests sent for so long after its end.
UNPLANNED_SECONDS = 3
# How long a daemon may take to apply a newer configuration.
APPLY_SECONDS = 3
# Time after the grace period, or after the last daemon applied a configuration,
# that still counts as planned work.
MARGIN_SECONDS = 1
# Requests sent no later than this after SIGTERM are excused when their host was
# at work in the last sixth of the grace period.
LATE_REQUEST_SECONDS = 3
LAST_SIXTH = 5 / 6
# Beside a change of the configuration alone, requests that have used less of
# their time count, if they are cut so many times as often as at other times.
SHARE_OF_TIME = 0.7
RATE_FACTOR = 3


@dataclasses.dataclass
class Call:
    """A request as its caller saw it; times are those of time.monotonic."""

    request_id: str
    # "chat", "payout" or "status".
    kind: str
    daemon: int
    deadline_seconds: float
    # Whether the connection had carried a request before.
    kept: bool
    begun: float
    # When its last byte had been sent.
    sent: float = None
    ended: float = None
    # "whole", "cut" (with a status, without its end), "unanswered" (closed
    # without a byte), "timeout" (the caller left) or "unsent".
    outcome: str = "unsent"
    # Status of the answer, if there was one.
    status: int = None
    # Body of the answer, if it was whole.
    text: str = None

    def is_lost(self):
        return self.sent is not None and self.outcome in ("cut", "unanswered")


class FaultLog:
    """The times of planned work and of unplanned faults."""

    def __init__(self, grace_seconds):
        self.grace_seconds = grace_seconds
        self.stops = []
        self.reloads = []
        self.changes = []
        self.faults = []
        # Daemon and time of each start.
        self.starts = []

    def add_start(self, daemon):
        self.starts.append((daemon, time.monotonic()))

    def was_disturbed(self, daemon, begin, end):
        """Returns whether the daemon was started, or there was an unplanned
        fault, in a span of time."""
        return any(begin <= at <= end for number, at in self.starts
                   if number == daemon) or any(
                       fault[0] <= end and fault[1] >= begin
                       for fault in self.faults)

    def disturbances(self, begin, end):
        """Returns the number of starts and unplanned faults in a span of
        time."""
        return sum(1 for _, at in self.starts if begin <= at <= end) + sum(
            1 for fault in self.faults
            if fault[0] <= end and fault[1] >= begin)

    def add_stop(self, daemon):
        """Notes the first stop signal of a daemon, before it is sent."""
        self.stops.append((daemon, time.monotonic()))

    def add_reload(self, daemon):
        self.reloads.append((daemon, time.monotonic()))

    def add_change(self):
        self.changes.append(time.monotonic())

    def begin_fault(self, store_only=False):
        """Notes an unplanned fault and returns it; end_fault ends it."""
        fault = [time.monotonic(), float("inf"), store_only]
        self.faults.append(fault)
        return fault

    def end_fault(self, fault):
        fault[1] = time.monotonic()

    def has_fault_near(self, call):
        # A fault of the store alone is an excuse for streams only.
        return any(
            begin <= call.ended and end >= call.begun - UNPLANNED_SECONDS
            and not (store_only and call.kind != "chat")
            for begin, end, store_only in self.faults)

    def stop_near(self, call):
        """Returns the latest stop of the call's daemon around the end of the
        call, or None."""
        limit = self.grace_seconds + MARGIN_SECONDS
        near = [at for daemon, at in self.stops
                if daemon == call.daemon and at <= call.ended <= at + limit]
        return max(near, default=None)

    def has_reload_near(self, call):
        return any(daemon == call.daemon and at <= call.ended
                   and call.begun <= at + APPLY_SECONDS
                   for daemon, at in self.reloads)

    def has_change_near(self, call):
        return any(at <= call.ended <= at + APPLY_SECONDS + MARGIN_SECONDS
                   for at in self.changes)


def was_at_work(work, begin, end):
    return work.begun <= end and (work.ended is None or work.ended >= begin)


def is_excused(call, runs, log):
    """Returns whether the host broke off, the time of the request was over, or
    the daemon could not wait for the host any longer."""
    # A suspended try goes on when its replacement fails.
    last = max(runs, key=lambda run: run.ended or float("inf"), default=None)
    if last is not None and last.outcome in ("broke_off", "closed_early"):
        return True
    if call.ended >= call.begun + call.deadline_seconds:
        return True
    at = log.stop_near(call)
    return (at is not None and call.sent <= at + LATE_REQUEST_SECONDS
            and any(was_at_work(work, at + LAST_SIXTH * log.grace_seconds,
                                at + log.grace_seconds) for work in runs))


def passed_on_or_read(call, works):
    return bool(works) or call.ended > call.sent + CROSSING_SECONDS


def reason_of(call, works, log):
    """Returns the planned work beside which the call was lost, or None."""
    if log.stop_near(call) is not None:
        return "stop"
    if log.has_reload_near(call):
        return "reload"
    if call.kept and call.outcome == "unanswered" and works:
        return "kept connection"
    used = (call.ended - call.begun) / call.deadline_seconds
    if log.has_change_near(call) and used < SHARE_OF_TIME:
        return "change"
    return None


def is_cut_more_often(daemon, calls, log):
    """Returns whether the daemon cuts requests over RATE_FACTOR times as often
    beside changes of the configuration as at other times."""
    counts = collections.Counter()
    for call in calls:
        if call.daemon == daemon and call.sent is not None:
            near = log.has_change_near(call)
            counts[near, "all"] += 1
            counts[near, "lost"] += call.is_lost()
    return (counts[True, "lost"] * max(counts[False, "all"], 1)
            > RATE_FACTOR * counts[False, "lost"] * counts[True, "all"])


def find_lost(calls, works, log):
    """Returns (call, reason) for each lost request. works has the works of each
    request id, in order."""
    lost = []
    for call in calls:
        its_works = works.get(call.request_id, [])
        runs = [w for w in its_works if w.outcome != "rejected"]
        if (not call.is_lost() or log.has_fault_near(call)
                or not passed_on_or_read(call, its_works)
                or is_excused(call, runs, log)):
            continue
        reason = reason_of(call, its_works, log)
        if reason == "change" and not is_cut_more_often(
                call.daemon, calls, log):
            continue
        if reason is not None:
            lost.append((call, reason))
    return lost


def describe(call, reason, works, log):
    """Returns the times of a request without a whole answer, relative to its
    first byte. reason is None if it is not lost."""
    def relative(at):
        return "-" if at is None else f"{at - call.begun:+.3f}"

    hosts = " ".join(
        f"{w.outcome}:{relative(w.begun)}..{relative(w.ended)}" for w in works)
    wall = datetime.datetime.now(datetime.timezone.utc) - datetime.timedelta(
        seconds=time.monotonic() - call.begun)
    stops = " ".join(relative(at) for daemon, at in log.stops
                     if daemon == call.daemon and at <= call.ended)
    verdict = f"lost beside {reason}" if reason else "not counted"
    return (f"{call.request_id}: {verdict}: n{call.daemon} "
            f"at={wall:%H:%M:%S.%f} kept={call.kept} {call.outcome} "
            f"sent={relative(call.sent)} ended={relative(call.ended)} "
            f"stops=[{stops}] hosts=[{hosts}]")

#!/usr/bin/env python3
"""Tests of the check for lost requests."""

import dataclasses
import sys
import pathlib
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lost_requests import Call, FaultLog, find_lost  # noqa: E402
from work_record import Work  # noqa: E402

GRACE_SECONDS = 6
STREAM_CUT = Call("r", "chat", daemon=0, deadline_seconds=8, kept=False,
                  begun=100, sent=100, ended=102, outcome="cut")


def make_work(begun, ended, outcome="left"):
    work = Work("r")
    work.begun, work.ended, work.outcome = begun, ended, outcome
    return work


def make_log(stops=(), reloads=(), changes=(), faults=()):
    log = FaultLog(GRACE_SECONDS)
    log.stops, log.reloads = list(stops), list(reloads)
    log.changes, log.faults = list(changes), list(faults)
    return log


def reasons(call, log, works=None, others=()):
    if works is None:
        works = [make_work(call.begun, call.ended)]
    found = find_lost([call, *others], {"r": works}, log)
    return [reason for _, reason in found]


def change(**fields):
    return dataclasses.replace(STREAM_CUT, **fields)


class LostRequests(unittest.TestCase):
    def test_stream_cut_after_sigterm_is_lost(self):
        for at in (99, 101, 95.1):
            self.assertEqual(
                reasons(STREAM_CUT, make_log([(0, at)])), ["stop"])

    def test_signals_of_another_daemon_or_time_dont_count(self):
        self.assertEqual(reasons(STREAM_CUT, make_log([(1, 101)])), [])
        self.assertEqual(reasons(STREAM_CUT, make_log([(0, 94.9)])), [])
        self.assertEqual(reasons(STREAM_CUT, make_log([(0, 102.1)])), [])

    def test_answers_and_requests_not_sent_whole_dont_count(self):
        log = make_log([(0, 101)])
        for outcome in ("whole", "timeout"):
            self.assertEqual(reasons(change(outcome=outcome), log), [])
        unsent = change(outcome="unsent", sent=None, ended=None)
        self.assertEqual(reasons(unsent, log, []), [])

    def test_unplanned_faults_near_excuse(self):
        stop = [(0, 101)]
        for begin, end, expected in ((90, 97.1, []), (101, 105, []),
                                     (90, 96.9, ["stop"]),
                                     (102.1, 103, ["stop"])):
            log = make_log(stop, faults=[[begin, end, False]])
            self.assertEqual(reasons(STREAM_CUT, log), expected)

    def test_store_faults_excuse_streams_only(self):
        log = make_log([(0, 101)], faults=[[100, 101, True]])
        self.assertEqual(reasons(STREAM_CUT, log), [])
        self.assertEqual(reasons(change(kind="payout"), log), ["stop"])

    def test_host_that_broke_off_last_excuses(self):
        log = make_log([(0, 101)])
        broken = make_work(100, 101, "broke_off")
        self.assertEqual(reasons(STREAM_CUT, log, [broken]), [])
        self.assertEqual(reasons(
            STREAM_CUT, log, [broken, make_work(101, 102)]), ["stop"])
        self.assertEqual(reasons(STREAM_CUT, log, [
            broken, make_work(101, 101, "rejected")]), [])

    def test_suspended_host_that_broke_off_last_excuses(self):
        log = make_log([(0, 101)])
        suspended = make_work(100, 102, "broke_off")
        replacement = make_work(101, 101.9, "left")
        self.assertEqual(
            reasons(STREAM_CUT, log, [suspended, replacement]), [])
        self.assertEqual(reasons(STREAM_CUT, log, [
            suspended, make_work(101, 102.1, "left")]), ["stop"])

    def test_time_that_is_over_excuses(self):
        log = make_log([(0, 101)])
        self.assertEqual(reasons(change(deadline_seconds=2), log), [])
        self.assertEqual(reasons(change(deadline_seconds=2.1), log), ["stop"])

    def test_work_in_the_last_sixth_of_the_grace_time_excuses(self):
        # The last sixth is from 103 to 104.
        log = make_log([(0, 98)])
        late = change(sent=101, ended=103.2)
        self.assertEqual(reasons(late, log), [])
        self.assertEqual(
            reasons(late, log, [make_work(101, 102.9)]), ["stop"])
        self.assertEqual(reasons(change(sent=101.1, ended=103.2), log),
                         ["stop"])

    def test_request_that_was_not_passed_on(self):
        log = make_log([(0, 99)])
        closed = change(outcome="unanswered", kept=True)
        self.assertEqual(
            reasons(change(outcome="unanswered", ended=100.1), log, []), [])
        self.assertEqual(reasons(closed, log, []), ["stop"])

    def test_kept_connection_closed_at_any_time(self):
        closed = change(outcome="unanswered", kept=True)
        self.assertEqual(reasons(closed, make_log()), ["kept connection"])
        self.assertEqual(reasons(closed, make_log(), []), [])
        self.assertEqual(
            reasons(change(outcome="unanswered"), make_log()), [])

    def test_reload(self):
        self.assertEqual(
            reasons(STREAM_CUT, make_log(reloads=[(0, 101)])), ["reload"])
        self.assertEqual(
            reasons(STREAM_CUT, make_log(reloads=[(0, 97)])), ["reload"])
        self.assertEqual(reasons(STREAM_CUT, make_log(reloads=[(0, 96)])), [])
        self.assertEqual(reasons(STREAM_CUT, make_log(reloads=[(0, 103)])), [])

    def test_change_of_the_configuration(self):
        log = make_log(changes=[101])
        self.assertEqual(reasons(STREAM_CUT, log), ["change"])
        self.assertEqual(
            reasons(change(deadline_seconds=2.5), log), [])
        self.assertEqual(
            reasons(STREAM_CUT, make_log(changes=[97])), [])

    def test_change_counts_only_if_cuts_are_more_frequent_beside_it(self):
        log = make_log(changes=[101])
        elsewhere = change(request_id="o", begun=50, sent=50, ended=52)
        whole = [change(request_id="o", begun=50, sent=50, ended=52,
                        outcome="whole")] * 3
        self.assertEqual(reasons(STREAM_CUT, log, others=[elsewhere]), [])
        self.assertEqual(
            reasons(STREAM_CUT, log, others=[elsewhere, *whole]), ["change"])


if __name__ == "__main__":
    unittest.main()

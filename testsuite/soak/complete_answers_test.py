#!/usr/bin/env python3
"""Tests of the check for responses that look complete."""

import dataclasses
import pathlib
import socket
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from complete_answers import find_incomplete  # noqa: E402
from early_ends import EarlyEnd, answer_early, stream_early  # noqa: E402
from lost_requests import Call  # noqa: E402
from soak_workers import whole_body  # noqa: E402
from work_record import Work  # noqa: E402

STREAM = whole_body("chat", "r")
BODY = whole_body("payout", "r")
EVENTS = 30


def events(first, last):
    return "".join(
        f"id: {n}\ndata: piece {n}\n\n" for n in range(first, last + 1))


def make_work(written, outcome):
    work = Work("r")
    work.written = written
    work.end(outcome)
    return work


def passes(kind, text, *works, **fields):
    call = Call("r", kind, daemon=0, deadline_seconds=8, kept=False, begun=100,
                sent=100, ended=102, outcome="whole", status=200, text=text)
    call = dataclasses.replace(call, **fields)
    return not find_incomplete([call], {"r": list(works)})


class CompleteAnswers(unittest.TestCase):
    def test_whole_responses_pass(self):
        self.assertTrue(passes("chat", STREAM, make_work(STREAM, "whole")))
        self.assertTrue(passes("payout", BODY, make_work(BODY, "whole")))

    # A stream reset between two events looked complete.
    def test_what_a_reset_or_a_fall_ended_does_not_pass(self):
        for kind, text in (("chat", events(1, 7)), ("status", BODY[:4]),
                           ("payout", BODY[:4]), ("chat", STREAM)):
            for outcome in ("broke_off", "left", "working", "rejected"):
                self.assertFalse(passes(kind, text, make_work(text, outcome)))

    def test_truncated_responses_of_whole_works_dont_pass(self):
        self.assertFalse(passes("chat", events(1, 7), make_work(
            STREAM, "whole")))
        self.assertFalse(passes("payout", BODY[:4], make_work(BODY, "whole")))
        self.assertFalse(passes("chat", STREAM[:-1], make_work(
            STREAM, "whole")))

    def test_what_a_live_worker_closed_in_order_may_pass(self):
        self.assertTrue(passes(
            "chat", events(1, 7), make_work(events(1, 7), "closed_early")))
        self.assertTrue(passes(
            "chat", events(1, 9), make_work(events(1, 5), "broke_off"),
            make_work(events(6, 9), "closed_early")))
        self.assertTrue(passes(
            "status", BODY[:4], make_work(BODY[:4], "closed_early")))

    def test_no_other_bytes_than_those_may_pass(self):
        early = make_work(events(1, 7), "closed_early")
        for text in (events(1, 6), events(1, 8), events(2, 7),
                     events(1, 7) + "id: 8", events(1, 5) + events(7, 7), ""):
            self.assertFalse(passes("chat", text, early))
        early = make_work(BODY[:4], "closed_early")
        for text in (BODY[:3], BODY[:5], BODY, ""):
            self.assertFalse(passes("payout", text, early))

    def test_a_worker_that_wrote_no_event_ends_nothing(self):
        self.assertFalse(passes("chat", "", make_work("", "closed_early")))
        self.assertFalse(passes(
            "chat", events(1, 5), make_work(events(1, 5), "broke_off"),
            make_work("", "closed_early")))

    def test_a_response_of_no_work_does_not_pass(self):
        self.assertFalse(passes("payout", BODY))
        self.assertFalse(passes("chat", STREAM))

    def test_cut_responses_and_errors_are_not_judged(self):
        self.assertTrue(passes("chat", None, outcome="cut"))
        self.assertTrue(passes("payout", "{}", status=503))


class FakeHandler:
    """What a worker's response needs of an HTTP handler, on a socket pair."""

    def __init__(self, connection):
        self.connection = connection
        self.wfile = self
        self.work = Work("r")
        self.close_connection = False

    def write(self, data):
        self.connection.sendall(data)

    def send_response(self, status):
        self.write(f"{self.protocol_version} {status} OK\r\n".encode())

    def send_header(self, name, value):
        self.write(f"{name}: {value}\r\n".encode())

    def end_headers(self):
        self.write(b"\r\n")


class FakeWorker:
    EVENTS = EVENTS

    def seal_headers(self, _):
        return []

    def event(self, number):
        return events(number, number).encode()

    def wait_after_event(self, handler, number):
        handler.work.written += events(number, number)


class EarlyEnds(unittest.TestCase):
    def play(self, play, argument, **fields):
        """Returns the record of the worker, the body and whether the
        connection was reset."""
        end = dataclasses.replace(
            EarlyEnd("HTTP/1.0", 8, False, 0.5, 0, False), **fields)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            server, _ = listener.accept()
        handler = FakeHandler(server)
        with client:
            # Bytes that are not read before a reset are lost.
            play(FakeWorker(), handler, argument, end)
            if not end.resets:
                server.close()
            data, reset = b"", False
            try:
                while part := client.recv(65536):
                    data += part
            except ConnectionResetError:
                reset = True
        return handler.work, data.partition(b"\r\n\r\n")[2].decode(), reset

    def test_record_is_what_was_written(self):
        work, body, reset = self.play(stream_early, 3)
        self.assertEqual((work.outcome, work.written, body, reset),
                         ("closed_early", events(3, 7), events(3, 7), False))
        work, body, reset = self.play(stream_early, 3, inside_event=True)
        self.assertEqual((work.outcome, work.written, body, reset), (
            "broke_off", events(3, 7), events(3, 7) + "id: 8\ndat", False))
        work, body, reset = self.play(answer_early, BODY.encode())
        self.assertEqual((work.outcome, work.written, body, reset),
                         ("closed_early", BODY[:3], BODY[:3], False))

    def test_stream_that_is_resumed_behind_the_end_has_no_events(self):
        work, body, _ = self.play(stream_early, 9)
        self.assertEqual((work.outcome, work.written, body),
                         ("closed_early", "", ""))

    def test_stream_that_ends_in_order_behind_all_events_is_whole(self):
        work, body, _ = self.play(stream_early, 1, event=EVENTS + 1)
        self.assertEqual((work.outcome, body), ("whole", STREAM))
        work, body, _ = self.play(stream_early, EVENTS + 1)
        self.assertEqual((work.outcome, body), ("whole", ""))

    def test_resets_are_seen_as_such(self):
        for play, argument in ((stream_early, 1), (answer_early, b"done r")):
            work, _, reset = self.play(play, argument, resets=True)
            self.assertEqual((work.outcome, reset), ("broke_off", True))


if __name__ == "__main__":
    unittest.main()

#!/usr/bin/env python3
"""Plays all rows of response_ends.py, by hand.

usage: response_ends_matrix.py --bin BIN_FOLDER [--part PART] [--only TEXT]
                               [--version 1.1]

PART is ends (ways to end a response), second (second answers) or daemons
(daemons that end). Prints each row with what its caller read; EARLY marks what
looks complete and is not.
"""

import argparse
import itertools
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from response_ends import ResponseEnds  # noqa: E402
from response_rows import (  # noqa: E402
    KINDS, all_rows, second_answers, whole_body)
from session import Session  # noqa: E402


class Tally:
    def __init__(self):
        self.rows = 0
        self.early = 0

    def add(self, name, received, sound, note=""):
        self.rows += 1
        self.early += not sound
        print(f"{name}: {received.show()}{note}{'' if sound else ' EARLY'}",
              flush=True)


def play_ends(arguments, tally):
    with Session() as session:
        ends = ResponseEnds(session)
        ends.cut_links()
        for row in all_rows():
            if arguments.only not in row.name():
                continue
            received, outcome = ends.play(row, arguments.version)
            # A silent host is given up sooner or later.
            expected = row.outcome() == outcome or row.end == "silence"
            tally.add(row.name(), received, outcome != "EARLY",
                      "" if expected else f" ({row.outcome()} expected)")


def play_second_answers(arguments, tally):
    with Session() as session:
        ends = ResponseEnds(session)
        for row in second_answers():
            if arguments.only in row.name():
                tally.add(row.name(), *ends.play_second_answer(row))


def play_daemon_ends(arguments, tally):
    for kind, version, detour, end in itertools.product(
            KINDS, ("1.1", "1.0"), (False, True), ("KILL", "TERM", "STOP")):
        name = (f"{kind}, HTTP/{version}, "
                f"{'helper' if detour else 'daemon'} gets SIG{end}")
        if arguments.only not in name:
            continue
        with Session() as session:
            ends = ResponseEnds(session)
            if detour:
                ends.cut_links()
            received = ends.play_daemon_end(
                kind, version, detour,
                lambda d, e=end: d.popen.send_signal(
                    getattr(signal, f"SIG{e}")))
            sound = (received.status != 200 or not received.complete or
                     received.body.startswith("q-") or
                     received.body == whole_body(kind, ""))
            tally.add(name, received, sound)


def main():
    parts = {"ends": play_ends, "second": play_second_answers,
             "daemons": play_daemon_ends}
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--part", choices=parts, default="ends")
    parser.add_argument("--only", default="")
    parser.add_argument("--version", default="1.1",
                        help="HTTP version of the callers")
    arguments = parser.parse_args()
    os.environ["MONSOONDOCK_BIN"] = arguments.bin
    tally = Tally()
    parts[arguments.part](arguments, tally)
    print(f"{tally.rows} rows, {tally.early} early")
    return 1 if tally.early else 0


if __name__ == "__main__":
    sys.exit(main())

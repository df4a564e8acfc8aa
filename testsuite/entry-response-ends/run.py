"""Responses that end early must not look complete: hosts that break off, reset
their connections, or are killed, halfway through responses with a length, in
chunks, and with neither; behind a replaced try and over a detour too. Hosts that
answer twice, and a daemon that is killed under a caller of HTTP/1.0."""

from response_ends import ResponseEnds
from response_rows import all_rows, second_answers
from session import Session

OUTCOMES = ("whole", "as closed", "not complete")


def is_chosen(row):
    """Leaves out silent hosts, which take a deadline each, and for responses
    with a length or in chunks all but killed hosts."""
    return row.end != "silence" and (
        row.framing in ("none", "http_1_0") or row.end == "kill")


def play_rows(session, ends):
    counts = dict.fromkeys(OUTCOMES, 0)
    for row in filter(is_chosen, all_rows()):
        received, outcome = ends.play(row)
        if outcome != row.outcome():
            session.say(f"{row.name()}: {received.show()}, {outcome}; "
                        f"{row.outcome()} expected")
        else:
            counts[outcome] += 1
    for outcome, count in counts.items():
        session.say(f"{outcome}: {count} responses")


def play_second_answers(session, ends):
    count = 0
    for row in second_answers():
        if row.framing in ("none", "length") and (
                row.kind in ("once", "resumable")):
            received, sound = ends.play_second_answer(row)
            count += 1
            if not sound:
                session.say(f"{row.name()}: {received.show()}")
    session.say(f"second answers: {count} played")


def main():
    with Session() as session:
        ends = ResponseEnds(session)
        ends.cut_links()
        play_rows(session, ends)
        play_second_answers(session, ends)
        received = ends.play_daemon_end(
            "stream", "1.0", False, lambda daemon: daemon.popen.kill())
        session.say("stream to a caller of HTTP/1.0 whose daemon is killed: "
                    f"{'complete' if received.complete else 'cut'}")


if __name__ == "__main__":
    main()

"""Workers that end responses early which have neither a length nor chunks: at
once or after a silence, by a reset or in order."""

import dataclasses
import socket
import struct
import time

SILENCE_SECONDS = (0.3, 1.0)
# Bytes that are written of an event inside which a stream ends.
PART_BYTES = 9
# Up to so many responses of a worker in a row end early, so that replacements
# of silent requests do so too.
MOST_ENDS = 4


@dataclasses.dataclass(frozen=True)
class EarlyEnd:
    """How a worker ends a response without length and chunks."""

    http_version: str
    # Event before which or inside which a stream ends.
    event: int
    inside_event: bool
    # Share of another body that is written.
    share: float
    silence_seconds: float
    resets: bool


def draw_end(generator, events):
    return EarlyEnd(
        generator.choice(["HTTP/1.1", "HTTP/1.0"]),
        generator.randint(1, events + 1), generator.random() < 0.5,
        generator.uniform(0.1, 0.9),
        generator.choice([0, generator.uniform(*SILENCE_SECONDS)]),
        generator.random() < 0.7)


def begin_unframed(handler, end, headers):
    handler.protocol_version = end.http_version
    handler.send_response(200)
    for name, value in [*headers, ("Connection", "close")]:
        handler.send_header(name, value)
    handler.end_headers()


def finish(handler, end, outcome):
    """Ends the connection after the silence. outcome is that of a worker that
    closes it in order."""
    time.sleep(end.silence_seconds)
    handler.close_connection = True
    if not end.resets:
        handler.work.end(outcome, "inside event" if outcome == "broke_off"
                         else "")
        return
    handler.work.end("broke_off", "reset")
    handler.connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    handler.connection.close()


def stream_early(worker, handler, first, end):
    """Sends the events of an engine until the end."""
    begin_unframed(handler, end, [
        *worker.seal_headers(handler), ("Content-Type", "text/event-stream")])
    for number in range(first, min(end.event, worker.EVENTS + 1)):
        handler.wfile.write(worker.event(number))
        worker.wait_after_event(handler, number)
    inside = end.inside_event and first <= end.event <= worker.EVENTS
    if inside:
        handler.wfile.write(worker.event(end.event)[:PART_BYTES])
    whole = max(first, end.event) > worker.EVENTS
    finish(handler, end, "broke_off" if inside else
           "whole" if whole else "closed_early")


def answer_early(worker, handler, body, end):
    """Sends a part of a body."""
    begin_unframed(handler, end, worker.seal_headers(handler))
    part = body[:max(1, round(end.share * len(body)))]
    handler.wfile.write(part)
    handler.work.written = part.decode()
    finish(handler, end, "closed_early")


def set_ends(generator, workers, events=0):
    """The next responses of some of the workers end early."""
    if not workers:
        return
    for worker in generator.sample(
            workers, generator.randint(1, len(workers))):
        worker.early_ends = [draw_end(generator, events) for _ in range(
            generator.randint(1, MOST_ENDS))]


def end_streams_early(run, generator):
    heads = [e for e in run.engines if e.is_open_head()]
    set_ends(generator, heads, run.engines[0].EVENTS)


def end_answers_early(run, generator):
    set_ends(generator, run.ledgers)

"""The record of what a stand-in of a worker did for each request."""

import time


class Work:
    """The work of a worker on a request. Its outcome is "working", "whole",
    "rejected", "broke_off" (by the worker), "closed_early" (by the worker, in
    order, without framing and not inside an event) or "left" (by the
    sender)."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.begun = time.monotonic()
        self.ended = None
        self.outcome = "working"
        # How a worker broke off, where it notes that: "reset", "fall" or
        # "inside event" (in order).
        self.how = ""
        # Whole events, or bytes of another body, that the worker has written;
        # kept by the workers of the soak only.
        self.written = ""

    def end(self, outcome, how=""):
        if self.ended is None:
            self.ended = time.monotonic()
            self.outcome = outcome
            self.how = how

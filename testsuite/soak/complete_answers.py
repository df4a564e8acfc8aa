"""Finds responses that looked complete to their callers although no worker
ended them so."""

from soak_workers import whole_body


def is_end_of(call, work):
    """Returns whether a work that was closed in order too early, which can't be
    told from a whole one, is the end of what the caller got."""
    if work.outcome != "closed_early" or not work.written:
        return False
    if call.kind != "chat":
        return call.text == work.written
    # Events before may be those of other workers.
    whole = whole_body(call.kind, call.request_id)
    return whole.startswith(call.text) and call.text.endswith(work.written)


def is_complete(call, works):
    """Returns whether what the caller saw as complete was ended so by a
    worker."""
    if call.text == whole_body(call.kind, call.request_id) and any(
            work.outcome == "whole" for work in works):
        return True
    return any(is_end_of(call, work) for work in works)


def find_incomplete(calls, works):
    """Returns a description of each response that its caller saw as complete
    and that isn't. works has the works of each request id."""
    found = []
    for call in calls:
        if call.outcome != "whole" or call.status != 200:
            continue
        its_works = works.get(call.request_id, [])
        if not is_complete(call, its_works):
            ends = " ".join(f"{w.outcome}:{w.how}:{len(w.written)}"
                            for w in its_works)
            whole = len(whole_body(call.kind, call.request_id))
            found.append(
                f"{call.request_id}: looks complete with {len(call.text)} of "
                f"{whole} bytes, ends {call.text[-12:]!r}, hosts=[{ends}]")
    return found

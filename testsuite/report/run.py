"""The report that monsoondockctl generates from the logs of two daemons."""

from session import Session

LEADER = """\
time=2026-12-04T10:00:00.100Z level=info event=group_forming group=g1 model=m
time=2026-12-04T10:00:01.000Z level=info event=group_serving group=g1
time=2026-12-04T10:00:02.500Z level=info event=request request=r1 \
outcome=answered status=200 in_time=yes
time=2026-12-04T10:00:02.700Z level=info event=request request=r2 \
outcome=answered status=200 in_time=no
time=2026-12-04T10:00:04.000Z level=info event=group_dissolved group=g1
time=2026-12-04T10:00:04.300Z level=info event=request request=r3 \
outcome=overloaded status=503 in_time=yes
event=log_suppressed kind=try lines=12
"""

FOLLOWER = """\
time=2026-12-04T10:00:02.600Z level=info event=request request=r4 \
outcome=answered status=200 in_time=yes
time=2026-12-04T10:00:03.000Z level=info event=refused request=r5 status=404 \
reason=no_route
"""


def main():
    with Session() as session:
        logs = [session.write_file("a.log", LEADER),
                session.write_file("b.log", FOLLOWER)]
        result = session.run_tool("monsoondockctl", "report", *logs)
        session.say(result.stdout.rstrip())
        session.say(f"exit status {result.returncode}")
        empty = session.write_file("empty.log", "")
        result = session.run_tool("monsoondockctl", "report", empty)
        session.say(f"empty log: exit status {result.returncode}")
        result = session.run_tool("monsoondockctl", "report", "no-such-file")
        session.say(f"no file: exit status {result.returncode}")


if __name__ == "__main__":
    main()

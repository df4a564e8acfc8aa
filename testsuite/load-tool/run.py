"""The load tool sees right answers as right and each kind of wrong answer as
what it is, follows the entry hosts, and compares runs at the end."""

import json
import os
import socket
import subprocess

import fake_daemon

MODES = ["good", "crossed", "short", "unfinished", "cut", "refused"]


def load_tool(*arguments):
    program = os.path.join(os.environ["MONSOONDOCK_BIN"], "monsoondock-load")
    return subprocess.run(
        [program, *arguments], capture_output=True, text=True, timeout=60)


def closed_port():
    """Returns a socket that keeps a port without listening on it."""
    keeper = socket.socket()
    keeper.bind(("127.0.0.1", 0))
    return keeper


def run_load(server, modes):
    address = "%s:%d" % server.server_address
    workspaces = ",".join(f"{mode}={mode}" for mode in modes)
    return load_tool(
        f"--entry={address}", f"--workspaces={workspaces}", "--rate=300",
        "--duration_ms=1000", "--seed=7", "--mean_tokens=4", "--output=json",
        f"--verify_runs={address}")


def show(result):
    print("exit status", result.returncode)
    summary = json.loads(result.stdout)
    keys = ["name", "sent", "completed", "refused", "broken", "wrong"]
    for group in summary["classes"] + summary["workspaces"]:
        print(" ".join(f"{key}={group[key]}" for key in keys))
    for kind in ["refusals", "breaks", "wrongs"]:
        for entry in summary[kind]:
            print(kind, entry["count"], entry["reason"])
    print("fairness", round(summary["fairness"], 3))


def show_refused_flags():
    for flags in (["--profile=calm"], ["--rate=0"], ["--entry=nowhere"]):
        result = load_tool(*flags)
        print("exit status", result.returncode, result.stderr.strip())


def main():
    with closed_port() as keeper:
        closed = "127.0.0.1:%d" % keeper.getsockname()[1]
        good = fake_daemon.start(closed)
        show(run_load(good, ["good"]))
        show(run_load(fake_daemon.start(closed), MODES))
    show_refused_flags()


main()

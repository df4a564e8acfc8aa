"""The load tool accepts correct responses, classifies each kind of wrong
response, tries the entry hosts in order, and checks the run counts at the
end."""

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


def bind_closed_port():
    """Returns a socket that is bound to a port without listening on it."""
    bound_socket = socket.socket()
    bound_socket.bind(("127.0.0.1", 0))
    return bound_socket


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
    with bind_closed_port() as bound_socket:
        closed = "127.0.0.1:%d" % bound_socket.getsockname()[1]
        good = fake_daemon.start(closed)
        show(run_load(good, ["good"]))
        show(run_load(fake_daemon.start(closed), MODES))
    show_refused_flags()


main()

"""Settings from an operator's file until daemons have them in force: apply,
conflicting edits, lost answers, an outage, and the output of monsoondockctl in
each case."""

import pathlib
import socket
import subprocess

from session import ConnectionDropped, Session, request, wait_until

EXAMPLE = pathlib.Path(__file__).resolve().parents[2] / "examples" / "resinas"
CREATE = {"If-None-Match": "*"}

FAULTY_TREE = """["org"]
deployment.spares = 999
deployment.colour = "red"
interactive.max_wait = "5 seconds"
["org/west"]
workspace.request_rate = 5
"""

DAEMON_CONFIG = """daemon = "{name}"
region = "cr-central"
data_centre = "heredia"
caller_address = "{caller}"
peer_address = "{peer}"
platform_addresses = ["{store}"]
peer_secret_file = "peer.secret"
timeouts.watch = "500ms"
timeouts.entry_host_ttl = "100ms"
"""


class Operator:
    """Runs monsoondockctl and prints its output and exit status."""

    def __init__(self, session, store):
        self.session = session
        self.store = store

    def run(self, *words, shown=None):
        command = [
            str(self.session.bin / "monsoondockctl"), *words,
            "--platform", self.store, "--timeout", "500ms",
            "--author", "ana"]
        done = subprocess.run(command, capture_output=True, text=True)
        self.session.say("$ monsoondockctl " + " ".join(shown or words))
        for line in (done.stdout + done.stderr).splitlines():
            self.session.say("  " + line.rstrip())
        self.session.say(f"  exit {done.returncode}")


def free_address():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % s.getsockname()[1]


def show_offline(s, operator):
    s.say("## checks without the platform")
    bad = s.write_file("faulty.toml", FAULTY_TREE)
    s.add_replacement(str(bad.parent) + "/", "")
    operator.run("settings", "check", str(bad))
    operator.run("settings", "check", str(EXAMPLE / "settings.toml"))
    operator.run("settings", "check", "no-such-file.toml")
    operator.run("settings", "frob")
    operator.run("settings", "set", "resinas")


def show_changes(s, operator):
    s.say("## changes")
    tree = str(EXAMPLE / "settings.toml")
    operator.run("settings", "apply", tree, "--note", "first")
    operator.run("settings", "apply", tree)
    heredia = "resinas/cr-central/heredia"
    operator.run("settings", "set", heredia, "deployment.spares", "3")
    operator.run("settings", "set", heredia, "deployment.spares", "-1")
    operator.run("settings", "set", heredia, "workspace.request_rate", "5")
    operator.run("settings", "get", heredia)
    operator.run("settings", "diff", tree)
    operator.run("settings", "apply", tree, "--if-revision", "1")
    operator.run("settings", "unset", heredia, "deployment.spares")
    operator.run(
        "settings", "effective", heredia, "--deployment", "copal-llm",
        "--workspace", "ledger")


def show_faults(s, operator, store):
    s.say("## lost answers and an outage")
    s.fault(store, lose_write_answers=1)
    operator.run("settings", "set", "resinas", "deployment.spares", "2")
    s.fault(store, lose_write_answers=2)
    operator.run("settings", "set", "resinas", "deployment.spares", "3")
    s.fault(store, down=True)
    operator.run("settings", "set", "resinas", "deployment.spares", "4")
    s.fault(store, down=False)
    operator.run("settings", "history")


def start_daemon(s, name, store):
    caller = free_address()
    text = DAEMON_CONFIG.format(
        name=name, caller=caller, peer=free_address(), store=store)
    s.write_file("peer.secret", "0123456789abcdef")
    path = s.write_file(f"{name}.toml", text)
    process = s.start(name, "monsoondockd", "--config", path, listeners=0)
    process.addresses.append(caller)
    s.mask_addresses(process)
    # Registers the daemon, in case it has not registered itself yet.
    request(store, "PUT", f"/v1/objects/daemons/{name}",
            {"caller_address": caller}, headers=CREATE)
    return process


def in_force(process):
    try:
        answer = request(process.address, "GET", "/admin/settings")
        return answer.json()["in_force"]
    except ConnectionDropped:
        return None


def show_daemons(s, operator, store):
    s.say("## daemons")
    daemons = [start_daemon(s, f"daemon-{i}", store) for i in (1, 2)]
    accepted = 5
    for daemon in daemons:
        wait_until(lambda d=daemon: in_force(d) == accepted, "settings")
    operator.run("settings", "status")
    operator.run("settings", "set", "resinas", "deployment.spares", "5")
    for daemon in daemons:
        wait_until(lambda d=daemon: in_force(d) == accepted + 1, "settings")
    s.fault(store, down=True)
    s.say(f"in force in an outage: {in_force(daemons[0])}")
    s.fault(store, down=False)
    s.kill(daemons[1])
    operator.run("settings", "status")


def count_objects(store):
    path = "/v1/objects?prefix=settings/"
    return len(request(store, "GET", path).json()["objects"])


def show_cleanup(s, operator, store):
    s.say("## objects of old revisions are removed")
    heredia = "resinas/cr-central/heredia"
    for i in range(40):
        subprocess.run(
            [str(s.bin / "monsoondockctl"), "settings", "set", heredia,
             "deployment.spares", str(10 + i), "--platform", store],
            check=True, capture_output=True)
    # The head; 32 accepted revisions and the one before them, each with an
    # index and the node that it changed; and the unchanged nodes.
    s.say(f"at most 32 + 1 of each kind: {count_objects(store) <= 2 * 33 + 20}")
    operator.run("settings", "get", heredia)


def show_drains(s, operator):
    s.say("## drains")
    operator.run("drain", "host", "h-1", "--note", "fan broken")
    operator.run("drain", "host", "h-1")
    operator.run("drains")
    operator.run("undrain", "host", "h-1")
    operator.run("undrain", "host", "h-1")
    operator.run("drain", "rack", "r-1")


def main():
    with Session() as s:
        s.add_replacement(str(EXAMPLE) + "/", "")
        store = s.start("platform", "monsoondock-platform-standin").address
        operator = Operator(s, store)
        show_offline(s, operator)
        show_changes(s, operator)
        show_faults(s, operator, store)
        show_daemons(s, operator, store)
        show_cleanup(s, operator, store)
        show_drains(s, operator)


main()

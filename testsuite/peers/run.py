"""Daemons among their peers: joining, entry hosts, drains, a death, a planned
stop, and a start during an outage of the platform."""

import hashlib

from session import Dropped, Session, free_port, request, wait_until

KEY = "a-key-of-the-sheds"
CALLER = {"Authorization": "Bearer " + KEY}

TREE = """["org"]
["org/deployments/copal-llm"]
deployment.kind = "model"
deployment.idempotent = true
["org/workspaces/sheds"]
workspace.api_key_hashes = ["{hash}"]
"""

DAEMON = """daemon = "{name}"
region = "cr-central"
data_centre = "{data_centre}"
caller_address = "{caller}"
peer_address = "{peer}"
platform_addresses = ["{store}"]
peer_seeds = [{seeds}]
peer_secret_file = "peer.secret"
timeouts.watch = "500ms"
timeouts.entry_host_ttl = "100ms"
"""


class Daemon:
    """One daemon and the addresses that it keeps over restarts."""

    def __init__(self, session, store, name, data_centre, seeds=()):
        self.session = session
        self.name = name
        self.caller = f"127.0.0.1:{free_port()}"
        self.peer = f"127.0.0.1:{free_port()}"
        self.path = session.write_file(f"{name}.toml", DAEMON.format(
            name=name, data_centre=data_centre, caller=self.caller,
            peer=self.peer, store=store,
            seeds=", ".join(f'"{seed}"' for seed in seeds)))
        self.start()

    def start(self):
        self.process = self.session.start(
            self.name, "monsoondockd", "--config", self.path, listeners=0)
        self.process.addresses.append(self.caller)
        self.session.name_addresses(self.process)

    def get(self, path):
        try:
            return request(self.caller, "GET", path, headers=CALLER)
        except Dropped:
            return None

    def page(self, name):
        answer = self.get("/admin/" + name)
        return answer.json() if answer and answer.status == 200 else {}

    def rows(self):
        members = self.page("members").get("members", [])
        return {row["daemon"]: row for row in members}

    def states(self):
        return {name: row["state"] for name, row in self.rows().items()}

    def entry_hosts(self):
        answer = self.get("/v1/entry-hosts")
        if not answer or answer.status != 200:
            return []
        return answer.json()["hosts"]


def all_see(daemons, states):
    for daemon in daemons:
        wait_until(lambda d=daemon: d.states() == states,
                   f"{states} at {daemon.name}")


def say_entry_hosts(s, label, daemons, expected):
    for daemon in daemons:
        wait_until(lambda d=daemon: set(d.entry_hosts()) == set(expected),
                   f"entry hosts {expected} at {daemon.name}")
    s.say(f"{label}: " + " ".join(sorted(s.normalise(h) for h in expected)))


def accept_settings(s, store):
    text = TREE.format(hash=hashlib.sha256(KEY.encode()).hexdigest())
    tree = s.write_file("tree.toml", text)
    done = s.run_tool("monsoondockctl", "settings", "apply", tree,
                      "--platform", store, "--author", "ana")
    assert done.returncode == 0, done.stderr


def drain(s, store, word, name):
    done = s.run_tool("monsoondockctl", word, "daemon", name,
                      "--platform", store, "--author", "ana")
    assert done.returncode == 0, done.stderr


def show_joining(s, daemons):
    s.say("## three daemons join")
    all_see(daemons, {d.name: "alive" for d in daemons})
    say_entry_hosts(s, "entry hosts", daemons, [d.caller for d in daemons])
    one, two, three = daemons
    s.say(f"last for a caller in heredia: {one.entry_hosts()[-1]}")
    s.say(f"first for a caller in cartago: {three.entry_hosts()[0]}")
    assert one.entry_hosts() == two.entry_hosts()


def show_drain(s, store, daemons):
    s.say("## an operator drains daemon-2")
    callers = [d.caller for d in daemons]
    drain(s, store, "drain", "daemon-2")
    say_entry_hosts(s, "entry hosts", daemons, [callers[0], callers[2]])
    wait_until(
        lambda: daemons[0].rows()["daemon-2"]["entry"] == "draining", "drain")
    row = daemons[0].rows()["daemon-2"]
    s.say(f"daemon-2 is {row['state']} and {row['entry']}")
    drain(s, store, "undrain", "daemon-2")
    say_entry_hosts(s, "entry hosts", daemons, callers)


def show_outage(s, store, daemons):
    s.say("## a daemon starts while the platform is down")
    s.fault(store, down=True)
    late = Daemon(s, store, "daemon-4", "cartago", [daemons[0].peer])
    wait_until(lambda: late.page("settings").get("in_force") == 1, "settings")
    s.say("daemon-4 has revision 1 in force")
    everybody = [*daemons, late]
    all_see(everybody, {d.name: "alive" for d in everybody})
    # Without the platform's list of hosts it has nobody to relay to.
    say_entry_hosts(s, "entry hosts", daemons, [d.caller for d in daemons])
    s.fault(store, down=False)
    wait_until(lambda: request(
        store, "GET", "/v1/objects/daemons/daemon-4").status == 200,
        "registration of daemon-4")
    s.say("daemon-4 registered itself after the outage")
    say_entry_hosts(s, "entry hosts", everybody,
                    [d.caller for d in everybody])
    return late


def show_death_and_return(s, survivors, victim):
    s.say("## daemon-3 is killed and comes back")
    before = survivors[0].rows()[victim.name]["incarnation"]
    s.kill(victim.process)
    for daemon in survivors:
        wait_until(lambda d=daemon: d.states()[victim.name] == "dead", "death")
    say_entry_hosts(s, "entry hosts", survivors,
                    [d.caller for d in survivors])
    victim.start()
    everybody = [*survivors, victim]
    all_see(everybody, {d.name: "alive" for d in everybody})
    after = survivors[0].rows()[victim.name]["incarnation"]
    s.say(f"a higher incarnation: {after > before}")


def show_stop(s, rest, leaver):
    s.say("## daemon-2 stops as planned")
    s.say(f"exit {s.stop(leaver.process)}")
    for daemon in rest:
        wait_until(lambda d=daemon: d.states()[leaver.name] == "dead", "leave")
    say_entry_hosts(s, "entry hosts", rest, [d.caller for d in rest])


def main():
    with Session() as s:
        store = s.start("platform", "monsoondock-platform-standin").address
        s.write_file("peer.secret", "0123456789abcdef")
        accept_settings(s, store)
        daemons = [Daemon(s, store, "daemon-1", "heredia"),
                   Daemon(s, store, "daemon-2", "heredia"),
                   Daemon(s, store, "daemon-3", "cartago")]
        show_joining(s, daemons)
        show_drain(s, store, daemons)
        late = show_outage(s, store, daemons)
        one, two, three = daemons
        show_death_and_return(s, [one, two, late], three)
        show_stop(s, [one, three, late], two)


main()

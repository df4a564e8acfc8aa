"""Membership of daemons: joining, entry hosts, drains, a crash, a planned stop,
and a start during an outage of the platform."""

import hashlib

from session import ConnectionDropped, Session, free_port, request, wait_until

API_KEY = "a-key-of-the-sheds"
AUTHORIZATION_HEADER = {"Authorization": "Bearer " + API_KEY}

SETTINGS_TREE = """["org"]
["org/deployments/copal-llm"]
deployment.kind = "model"
deployment.idempotent = true
["org/workspaces/sheds"]
workspace.api_key_hashes = ["{hash}"]
"""

DAEMON_CONFIG = """daemon = "{name}"
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
    """A daemon, which keeps its addresses across restarts."""

    def __init__(self, session, store, name, data_centre, seeds=()):
        self.session = session
        self.name = name
        self.caller = f"127.0.0.1:{free_port()}"
        self.peer = f"127.0.0.1:{free_port()}"
        self.path = session.write_file(f"{name}.toml", DAEMON_CONFIG.format(
            name=name, data_centre=data_centre, caller=self.caller,
            peer=self.peer, store=store,
            seeds=", ".join(f'"{seed}"' for seed in seeds)))
        self.start()

    def start(self):
        self.process = self.session.start(
            self.name, "monsoondockd", "--config", self.path, listeners=0)
        self.process.addresses.append(self.caller)
        self.session.mask_addresses(self.process)

    def get(self, path):
        try:
            return request(
                self.caller, "GET", path, headers=AUTHORIZATION_HEADER)
        except ConnectionDropped:
            return None

    def admin_page(self, name):
        answer = self.get("/admin/" + name)
        return answer.json() if answer and answer.status == 200 else {}

    def rows(self):
        members = self.admin_page("members").get("members", [])
        return {row["daemon"]: row for row in members}

    def states(self):
        return {name: row["state"] for name, row in self.rows().items()}

    def entry_hosts(self):
        answer = self.get("/v1/entry-hosts")
        if not answer or answer.status != 200:
            return []
        return answer.json()["hosts"]


def wait_for_states(daemons, states):
    for daemon in daemons:
        wait_until(lambda d=daemon: d.states() == states,
                   f"{states} at {daemon.name}")


def say_entry_hosts(s, label, daemons, expected):
    for daemon in daemons:
        wait_until(lambda d=daemon: set(d.entry_hosts()) == set(expected),
                   f"entry hosts {expected} at {daemon.name}")
    s.say(f"{label}: " + " ".join(sorted(s.normalise(h) for h in expected)))


def accept_settings(s, store):
    key_hash = hashlib.sha256(API_KEY.encode()).hexdigest()
    text = SETTINGS_TREE.format(hash=key_hash)
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
    wait_for_states(daemons, {d.name: "alive" for d in daemons})
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
    wait_until(lambda: late.admin_page("settings").get("in_force") == 1,
               "settings")
    s.say("daemon-4 has revision 1 in force")
    all_daemons = [*daemons, late]
    wait_for_states(all_daemons, {d.name: "alive" for d in all_daemons})
    # daemon-4 can relay to no upstream until it has read the list of hosts from
    # the platform, so it is no entry host yet.
    say_entry_hosts(s, "entry hosts", daemons, [d.caller for d in daemons])
    s.fault(store, down=False)
    wait_until(lambda: request(
        store, "GET", "/v1/objects/daemons/daemon-4").status == 200,
        "registration of daemon-4")
    s.say("daemon-4 registered itself after the outage")
    say_entry_hosts(s, "entry hosts", all_daemons,
                    [d.caller for d in all_daemons])
    return late


def show_crash_and_restart(s, survivors, victim):
    s.say("## daemon-3 is killed and restarted")
    before = survivors[0].rows()[victim.name]["incarnation"]
    s.kill(victim.process)
    for daemon in survivors:
        wait_until(lambda d=daemon: d.states()[victim.name] == "dead",
                   "detection of the killed daemon")
    say_entry_hosts(s, "entry hosts", survivors,
                    [d.caller for d in survivors])
    victim.start()
    all_daemons = [*survivors, victim]
    wait_for_states(all_daemons, {d.name: "alive" for d in all_daemons})
    after = survivors[0].rows()[victim.name]["incarnation"]
    s.say(f"a higher incarnation: {after > before}")


def show_stop(s, remaining, stopped):
    s.say("## daemon-2 stops as planned")
    s.say(f"exit {s.stop(stopped.process)}")
    for daemon in remaining:
        wait_until(lambda d=daemon: d.states()[stopped.name] == "dead",
                   "departure of the stopped daemon")
    say_entry_hosts(s, "entry hosts", remaining,
                    [d.caller for d in remaining])


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
        show_crash_and_restart(s, [one, two, late], three)
        show_stop(s, [one, three, late], two)


main()

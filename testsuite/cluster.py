"""A small cluster of real processes: the platform stand-in, engine hosts, a
plain service, and daemons that use the settings tree below."""

import hashlib
import json

from session import free_port, request, wait_until

DAEMON_START_ATTEMPTS = 5
REGION = "cr-central"
DATA_CENTRE = "heredia"
SECRET = "a secret of the test suite only\n"
API_KEYS = {"sheds-central": "sheds-central-key", "ledger": "ledger-key"}

DAEMON_CONFIG = """\
daemon = "{name}"
region = "cr-central"
data_centre = "{data_centre}"
caller_address = "127.0.0.1:{caller_port}"
peer_address = "127.0.0.1:{peer_port}"
platform_addresses = ["{platform}"]
peer_secret_file = "peer.secret"
traffic_threads = 1

[timeouts]
entry_host_ttl = "{entry_host_ttl}"
header = "{read_timeout}"
body = "{read_timeout}"
shutdown = "{shutdown}"
"""

SETTINGS_TREE = """\
["resinas"]
workspace.request_rate = 1000.0
workspace.request_burst = 1000
workspace.token_rate = 1000000.0

["resinas/cr-central"]

["resinas/cr-central/heredia"]

["resinas/deployments/copal-llm"]
deployment.kind = "model"
deployment.idempotent = true
deployment.hosts_per_group = {hosts_per_group}
deployment.min_groups = {groups}
deployment.max_groups = {groups}
deployment.spares = 0
deployment.evidence_lease = "{evidence_lease}"

["resinas/deployments/ledger-app"]
deployment.kind = "service"
deployment.idempotent = false
deployment.hosts_per_group = 1
deployment.min_groups = 1
deployment.max_groups = 1
deployment.spares = 0

["resinas/workspaces/sheds-central"]
workspace.api_key_hashes = ["{sheds}"]

["resinas/workspaces/ledger"]
workspace.api_key_hashes = ["{ledger}"]
"""


def key_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()


def bearer(workspace):
    return {"Authorization": f"Bearer {API_KEYS[workspace]}"}


class Cluster:
    """The processes of one cluster, which run in a session."""

    def __init__(self, session, hosts=16, hosts_per_group=16, groups=1,
                 entry_host_ttl="200ms", evidence_lease="8s",
                 read_timeout="5s", shutdown="5min"):
        self.session = session
        self.hosts = hosts
        self.hosts_per_group = hosts_per_group
        self.groups = groups
        self.entry_host_ttl = entry_host_ttl
        self.evidence_lease = evidence_lease
        self.read_timeout = read_timeout
        self.shutdown = shutdown
        self.daemons = {}
        self.processes = {}
        session.write_file("peer.secret", SECRET)

    def start_upstreams(self, *engine_flags):
        """Starts the platform and the upstreams and applies the settings."""
        s = self.session
        self.platform = s.start("platform", "monsoondock-platform-standin")
        store = self.platform.address
        self.apply_settings()
        if self.hosts > 0:
            self.start_engine(engine_flags)
        self.ledger = s.start(
            "ledger", "monsoondock-service-standin", "--deployment",
            "ledger-app", "--platform", store)
        wait_until(lambda: len(self.objects("hosts/")) == self.hosts + 1,
                   "registration of the hosts")

    def start_engine(self, flags):
        self.engine = self.session.start(
            "engine", "monsoondock-engine-standin", "--count", self.hosts,
            "--platform", self.platform.address, "--token-ms", 2,
            "--first-token-ms", 5, *flags, listeners=self.hosts)

    def apply_settings(self):
        text = SETTINGS_TREE.format(
            hosts_per_group=self.hosts_per_group, groups=self.groups,
            evidence_lease=self.evidence_lease,
            sheds=key_hash(API_KEYS["sheds-central"]),
            ledger=key_hash(API_KEYS["ledger"]))
        path = self.session.write_file("tree.toml", text)
        result = self.session.run_tool(
            "monsoondockctl", "settings", "apply", path,
            "--platform", self.platform.address, "--note", "test")
        assert result.returncode == 0, result.stderr

    def objects(self, prefix):
        """Returns the platform's objects by key."""
        answer = request(
            self.platform.address, "GET", f"/v1/objects?prefix={prefix}")
        return {o["key"]: o["value"] for o in answer.json()["objects"]}

    def start_daemon(self, name, data_centre=DATA_CENTRE):
        """Starts a daemon and waits until it is ready."""
        for _ in range(DAEMON_START_ATTEMPTS):
            if self.try_start_daemon(name, data_centre):
                return self.daemons[name]
        raise RuntimeError(
            f"{name} did not start in {DAEMON_START_ATTEMPTS} attempts")

    def try_start_daemon(self, name, data_centre):
        """Returns False when the daemon exits during start-up, as it does when
        another process has taken one of its ports."""
        port = free_port()
        path = self.session.write_file(f"{name}.toml", DAEMON_CONFIG.format(
            name=name, data_centre=data_centre, caller_port=port,
            peer_port=free_port(), platform=self.platform.address,
            entry_host_ttl=self.entry_host_ttl,
            read_timeout=self.read_timeout, shutdown=self.shutdown))
        process = self.session.launch(
            name, "monsoondockd", "--config", path)
        process.addresses.append(f"127.0.0.1:{port}")
        wait_until(
            lambda: process.popen.poll() is not None
            or self.is_ready(process.address), f"readiness of {name}")
        if process.popen.poll() is not None:
            return False
        self.daemons[name] = process.address
        self.processes[name] = process
        self.session.mask_addresses(process)
        return True

    def restart_daemon(self, name):
        """Starts a stopped daemon again with the same configuration and waits
        until it is ready."""
        address = self.daemons[name]
        path = self.session.scratch_path(f"{name}.toml")
        process = self.session.launch(name, "monsoondockd", "--config", path)
        process.addresses.append(address)
        self.processes[name] = process
        wait_until(lambda: self.is_ready(address), f"readiness of {name}")

    def is_ready(self, address):
        try:
            return request(address, "GET", "/readyz").status == 200
        except Exception:
            return False

    def entry_hosts(self, address, workspace):
        """Returns what a daemon answers to a caller of the workspace."""
        return request(address, "GET", "/v1/entry-hosts",
                       headers=bearer(workspace))

    def wait_for_members(self):
        """Waits until each daemon lists all daemons as entry hosts."""
        for address in self.daemons.values():
            wait_until(
                lambda: self.entry_hosts(address, "ledger").status == 200 and
                len(self.entry_hosts(address, "ledger").json()["hosts"])
                == len(self.daemons), "entry hosts")

    def wait_for_group(self):
        """Waits until each daemon serves completions."""
        body = {"model": "copal-llm", "max_tokens": 1,
                "messages": [{"role": "user", "content": "ready?"}]}
        for address in self.daemons.values():
            wait_until(
                lambda: request(
                    address, "POST", "/v1/chat/completions", body,
                    bearer("sheds-central")).status == 200, "serving group")

    def pay(self, address, key, body, workspace="ledger"):
        """Sends a payout with an idempotency key."""
        headers = {**bearer(workspace), "Idempotency-Key": key}
        return request(address, "POST", "/services/ledger-app/payouts", body,
                       headers)

    def runs(self):
        """Returns the number of runs at the ledger by idempotency key."""
        return request(self.ledger.address, "GET", "/standin/runs").json()

"""A request that crashes every group that runs it is sent to two daemons,
concurrently and repeatedly: at most two groups are lost, then every daemon
refuses it until an operator lifts the quarantine."""

import concurrent.futures
import hashlib
import json
import socket
import subprocess

from session import ConnectionDropped, Session, chat, request, wait_until

API_KEY = "shed-key"
COMPLETIONS = "/v1/chat/completions"
SLOW_WAIT_SECONDS = 60
GROUPS = 5
CRASHER = "boom please"

DAEMON_CONFIG = """
daemon = "{name}"
region = "cr-central"
data_centre = "heredia"
caller_address = "{caller}"
peer_address = "{peer}"
platform_addresses = ["{platform}"]
peer_secret_file = "{secret}"
traffic_threads = 2
"""

SETTINGS_TREE = f"""
["resinas"]
["resinas/cr-central"]
["resinas/cr-central/heredia"]
["resinas/deployments/copal-llm"]
deployment.kind = "model"
deployment.idempotent = true
deployment.hosts_per_group = 2
deployment.min_groups = {GROUPS}
deployment.max_groups = {GROUPS}
deployment.evidence_lease = "5s"
["resinas/workspaces/sheds"]
workspace.api_key_hashes = ["{{key_hash}}"]
workspace.request_rate = 1000.0
workspace.request_burst = 1000
"""


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def apply_settings(s, platform):
    key_hash = hashlib.sha256(API_KEY.encode()).hexdigest()
    path = s.write_file("tree.toml", SETTINGS_TREE.format(key_hash=key_hash))
    done = subprocess.run(
        [s.bin / "monsoondockctl", "settings", "apply", path,
         "--platform", platform.address],
        capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr


def start_daemon(s, name, platform):
    caller = free_address()
    secret = s.write_file("peer.secret", "a-secret-of-the-peers-32-bytes-long")
    config = s.write_file(f"{name}.toml", DAEMON_CONFIG.format(
        name=name, caller=caller, peer=free_address(),
        platform=platform.address, secret=secret))
    process = s.start(name, "monsoondockd", "--config", config, listeners=0)
    process.addresses.append(caller)
    return process


def complete(daemon, prompt, tokens=2):
    """Sends a completion and returns a short summary of the response."""
    body = chat(prompt, tokens, stream=False, model="copal-llm")
    try:
        answer = request(daemon.address, "POST", COMPLETIONS, body,
                         {"Authorization": f"Bearer {API_KEY}"}, timeout=40)
    except ConnectionDropped:
        return "dropped"
    if answer.status == 200:
        return "200"
    problem = answer.json()
    kind = problem["type"].rsplit(":", 1)[1]
    return f"{answer.status} {kind} {problem['run']}"


def ready(daemon):
    try:
        answer = request(daemon.address, "GET", "/admin/groups")
    except ConnectionDropped:
        return []
    if answer.status != 200:
        return []
    found = [g for d in answer.json()["domains"] for g in d["groups"]]
    return [g for g in found if g["dispatch"] == "allowed"]


def suspects(platform):
    answer = request(platform.address, "GET", "/v1/objects?prefix=suspects/")
    return answer.json()["objects"]


def lost_groups(suspect):
    value = suspect["value"]
    return (json.loads(value) if isinstance(value, str) else value)["lost"]


def crashed(engine):
    """Counts the dead hosts, each of which means a lost group."""
    return sum(
        1 for host in engine.hosts if is_dead(engine.hosts[host]))


def is_dead(address):
    try:
        return request(address, "GET", "/v1/status").status != 200
    except ConnectionDropped:
        return True


def show_concurrent_copies(s, daemons, engine):
    s.say("## ten concurrent copies at two daemons, among harmless requests")
    with concurrent.futures.ThreadPoolExecutor(30) as pool:
        bad = [pool.submit(complete, daemons[i % 2], CRASHER)
               for i in range(10)]
        good = [pool.submit(complete, daemons[i % 2], f"lot {i}", 400)
                for i in range(10)]
        bad = [b.result() for b in bad]
        good = [g.result() for g in good]
    s.say(f"no copy got an answer: {'200' not in bad}")
    s.say(f"harmless requests answered: {good.count('200')} of {len(good)}")
    s.say(f"groups lost, at most two: {crashed(engine) <= 2}")


def show_repeats(s, daemons, engine):
    s.say("## sent again")
    for i in range(12):
        daemon = daemons[i % 2]
        wait_until(
            lambda d=daemon: complete(d, CRASHER).startswith(("422", "503")),
            "refusal")
    wait_until(lambda: all(
        complete(d, CRASHER).startswith("422") for d in daemons), "quarantine",
        SLOW_WAIT_SECONDS)
    for daemon in daemons:
        s.say(f"{daemon.name}: {complete(daemon, CRASHER)}")
    s.say(f"groups lost: {crashed(engine)}")


def show_others(s, daemons):
    s.say("## other requests")
    answers = [complete(daemons[i % 2], f"shed {i}") for i in range(40)]
    # Each request is confined to two groups. If both were lost, it is refused
    # and the caller may retry.
    expected = ("200", "503 groups_lost not_run")
    s.say(f"answered or refused for a retry: {set(answers) <= set(expected)}")
    s.say(f"at least three in four answered: {answers.count('200') >= 30}")


def show_lift(s, daemons, platform, engine):
    s.say("## an operator lifts the quarantine after the engines are repaired")
    found = suspects(platform)
    quarantined = [f for f in found if len(lost_groups(f)) >= 2]
    s.say(f"quarantined in the store: {len(quarantined)}")
    for host in engine.hosts:
        s.fault(engine.hosts[host], crash_on="", dead=False)
    for suspect in found:
        request(platform.address, "DELETE", "/v1/objects/" + suspect["key"],
                headers={"If-Match": f'"{suspect["version"]}"'})
    for daemon in daemons:
        wait_until(lambda d=daemon: complete(d, CRASHER) == "200", "answer",
                   SLOW_WAIT_SECONDS)
        s.say(f"{daemon.name}: {complete(daemon, CRASHER)}")


def main():
    with Session() as s:
        platform = s.start("platform", "monsoondock-platform-standin")
        apply_settings(s, platform)
        engine = s.start(
            "engine", "monsoondock-engine-standin", "--count", 2 * GROUPS,
            "--platform", platform.address, "--token_ms", 1,
            "--first_token_ms", 1, listeners=2 * GROUPS)
        daemons = [start_daemon(s, f"d{i}", platform) for i in (1, 2)]
        wait_until(lambda: all(len(ready(d)) == GROUPS for d in daemons),
                   "groups", SLOW_WAIT_SECONDS)
        for host in engine.hosts:
            s.fault(engine.hosts[host], crash_on="boom")
        show_concurrent_copies(s, daemons, engine)
        show_repeats(s, daemons, engine)
        show_others(s, daemons)
        show_lift(s, daemons, platform, engine)


main()

"""Replica groups: forming, loss and repair, drain, a daemon paused past its
lease, and an outage of the platform. Uses three daemons, of which two observe
each group, and one domain of eight hosts in groups of two. The engines ignore
generations."""

import concurrent.futures
import hashlib
import socket
import subprocess
import time

from session import ConnectionDropped, Session, chat, request, wait_until

API_KEY = "shed-key"
DAEMONS = ["entry-1", "entry-2", "entry-3"]
COMPLETIONS = "/v1/chat/completions"
SLOW_WAIT_SECONDS = 60
LEASE_SECONDS = 5
# Pages on which a daemon may still allow a group after a drain of its host was
# stored. A daemon makes a page every 0.6 s, and so the third within 2 s, unless
# its control thread, which also takes in the drain, waits for the processor.
PAGES_BEFORE_DRAIN = 2

DAEMON_CONFIG = """
daemon = "{name}"
region = "cr-central"
data_centre = "heredia"
caller_address = "{caller}"
peer_address = "{peer}"
platform_addresses = ["{platform}"]
peer_secret_file = "{secret}"
traffic_threads = 1
"""

SETTINGS_TREE = """
["resinas"]
["resinas/cr-central"]
["resinas/cr-central/heredia"]
["resinas/deployments/copal-llm"]
deployment.kind = "model"
deployment.idempotent = true
deployment.hosts_per_group = 2
deployment.min_groups = 2
deployment.max_groups = 2
deployment.evidence_lease = "5s"
["resinas/workspaces/sheds"]
workspace.api_key_hashes = ["{key_hash}"]
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


def complete(daemon, prompt="a"):
    """Returns the status of a completion, 0 if the connection dropped."""
    body = chat(prompt, 2, model="copal-llm")
    try:
        return request(daemon.address, "POST", COMPLETIONS, body,
                       {"Authorization": f"Bearer {API_KEY}"}).status
    except ConnectionDropped:
        return 0


def complete_while_stopped(s, daemon, count):
    """Queues requests at a paused daemon, resumes it and returns their
    statuses and the time before the resumption."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        waiting = [pool.submit(complete, daemon) for _ in range(count)]
        time.sleep(0.5)
        resumed_ms = boot_ms()
        s.resume(daemon)
        return [answer.result() for answer in waiting], resumed_ms


def boot_ms():
    """Returns the time on the clock of made_at_ms, which all processes share,
    rounded up."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000 + 1


def groups_page(daemon):
    answer = request(daemon.address, "GET", "/admin/groups")
    return answer.json() if answer.status == 200 else {"domains": []}


def ready_on(page, names=None):
    """Returns the groups that may take requests."""
    found = [g for d in page["domains"] for g in d["groups"]]
    found = [g for g in found if g["dispatch"] == "allowed"]
    return [g for g in found if names is None or g["id"] in names]


def ready(daemon, names=None):
    return ready_on(groups_page(daemon), names)


def wait_for_page(daemon, since_ms):
    """Returns the first page seen that was made at or after a time. An earlier
    one, such as that from before a pause, may still be served at that time."""
    pages = []

    def made():
        pages.append(groups_page(daemon))
        return pages[-1].get("made_at_ms", 0) >= since_ms

    wait_until(made, "page of the groups")
    return pages[-1]


def pages_until_stop(daemons, group, what):
    """Waits until every daemon has stopped the group and returns the pages
    seen of each daemon, the last of which shows the stop."""
    pages = {daemon.name: [] for daemon in daemons}

    def stopped(daemon):
        seen = pages[daemon.name]
        page = groups_page(daemon)
        if page["domains"] and (not seen or page != seen[-1]):
            seen.append(page)
        return seen and not ready_on(seen[-1], [group["id"]])

    wait_until(lambda: all([stopped(d) for d in daemons]), what)
    return pages


def allowed_since(pages, group, since_ms):
    """Returns the pages made at or after a time that allow the group."""
    return [p for p in pages
            if p["made_at_ms"] >= since_ms and ready_on(p, [group["id"]])]


def leaving_of_allowed(page):
    """Returns the leaving hosts of the groups that may take requests."""
    return [h["host"] for g in ready_on(page) for h in g["hosts"]
            if h["leaving"]]


def members(group):
    return [h["host"] for h in group["hosts"]]


def show_groups(s, label, daemon):
    for g in sorted(ready(daemon), key=lambda g: g["generation"]):
        s.say(f"{label}: {g['id']} {members(g)} {g['phase']}")


def wait_for_groups(daemons, count, what):
    wait_until(lambda: all(len(ready(d)) == count for d in daemons), what,
               SLOW_WAIT_SECONDS)


def counts(engine, host):
    return request(engine.hosts[host], "GET", "/standin/counts").json()


def started(engine):
    return sum(counts(engine, host)["started"] for host in engine.hosts)


def dispatched(daemon, group):
    """Counts the requests that a daemon sent to a group, by its log."""
    return daemon.log.read_text().count(f"upstream={group} ")


def show_host_lost(s, engine, daemons):
    """A group stops, is retired and repaired with a spare host."""
    lost = sorted(ready(daemons[0]), key=lambda g: g["generation"])[0]
    victim = members(lost)[1]
    s.fault(engine.hosts[victim], dead=True)
    lease_end_ms = boot_ms() + 1000 * LEASE_SECONDS
    pages = pages_until_stop(daemons, lost, "stop of the group")
    late = [p for seen in pages.values()
            for p in allowed_since(seen, lost, lease_end_ms)]
    s.say(f"{victim} died: its group stopped within the lease: {not late}")
    s.say(f"other group answers: {[complete(d) for d in daemons]}")
    wait_for_groups(daemons, 2, "repaired group")
    show_groups(s, "after the repair", daemons[1])
    return victim


def show_host_back(s, engine, daemons, victim):
    s.fault(engine.hosts[victim], dead=False)
    busy = [h for g in ready(daemons[0]) for h in members(g)]
    s.say(f"{victim} is back and in no group: {victim not in busy}")


def show_drain(s, platform, daemons):
    """A drained host's group gets no new work within two seconds, counted in
    pages of the daemons, and at once where the drain is known."""
    group = sorted(ready(daemons[0]), key=lambda g: g["generation"])[0]
    host = members(group)[0]
    answer = request(platform.address, "PUT", f"/v1/objects/drains/host/{host}",
                     "{}", {"If-None-Match": "*"})
    assert answer.status == 200, answer.text()
    drained_ms = boot_ms()
    pages = pages_until_stop(daemons, group, "stop of the drained group")
    allowed = [allowed_since(seen, group, drained_ms)
               for seen in pages.values()]
    known = [p for seen in pages.values() for p in seen
             if host in leaving_of_allowed(p)]
    in_time = all(len(a) <= PAGES_BEFORE_DRAIN for a in allowed)
    s.say(f"{host} drained: its group stopped within 2 s: "
          f"{in_time and not known}")
    wait_for_groups(daemons, 2, "group in place of the drained one")
    show_groups(s, "after the drain", daemons[1])


def show_paused_daemon(s, engine, daemons):
    """A daemon paused past its lease sends nothing to a retired group. The
    engines would run such requests, which would show in their counts."""
    awake, paused = daemons[:2]
    old = sorted(ready(awake), key=lambda g: g["generation"])[0]
    victim = members(old)[1]
    s.pause(paused)
    s.fault(engine.hosts[victim], dead=True)
    wait_for_groups([awake], 1, "stop of the group")
    wait_for_groups([awake], 2, "repaired group")
    before = started(engine)
    sent = dispatched(paused, old["id"])
    answers, resumed_ms = complete_while_stopped(s, paused, 8)
    ran = started(engine) - before
    s.say(f"resumed daemon: every answer was run once or refused: "
          f"{answers.count(200) == ran and set(answers) <= {200, 503}}")
    s.say(f"resumed daemon sent to the retired group: "
          f"{dispatched(paused, old['id']) - sent}")
    page = wait_for_page(paused, resumed_ms)
    s.say(f"resumed daemon may use the retired group: "
          f"{bool(ready_on(page, [old['id']]))}")
    wait_for_groups([paused], 2, "current view of the groups")
    s.say(f"resumed daemon answers: {complete(paused)}")
    s.fault(engine.hosts[victim], dead=False)


def show_outage(s, engine, platform, daemons):
    """Groups keep serving without the platform; a lost host is not replaced."""
    s.fault(platform.address, down=True)
    time.sleep(1)
    s.say(f"outage: {[complete(d) for d in daemons]}")
    kept = sorted(ready(daemons[0]), key=lambda g: g["generation"])
    victim = members(kept[0])[0]
    s.fault(engine.hosts[victim], dead=True)
    wait_for_groups(daemons, 1, "stop of the group in the outage")
    time.sleep(12)
    s.say(f"outage with a dead host: groups left "
          f"{[len(ready(d)) for d in daemons]}, answers "
          f"{[complete(d) for d in daemons]}")
    s.fault(platform.address, down=False)
    wait_for_groups(daemons, 2, "repair after the outage")
    s.say(f"after the outage: {[complete(d) for d in daemons]}")


def main():
    with Session() as s:
        platform = s.start(
            "platform", "monsoondock-platform-standin")
        apply_settings(s, platform)
        engine = s.start(
            "engine", "monsoondock-engine-standin", "--count", 8,
            "--ignore_generation", "--platform", platform.address,
            "--token_ms", 1, "--first_token_ms", 1, listeners=8)
        daemons = [start_daemon(s, name, platform) for name in DAEMONS]
        for daemon in daemons:
            wait_until(lambda: complete(daemon) == 200, "first answer",
                       SLOW_WAIT_SECONDS)
        wait_for_groups(daemons, 2, "groups")
        show_groups(s, "formed", daemons[0])
        victim = show_host_lost(s, engine, daemons)
        show_host_back(s, engine, daemons, victim)
        show_drain(s, platform, daemons)
        show_paused_daemon(s, engine, daemons)
        show_outage(s, engine, platform, daemons)
        for daemon in daemons:
            s.say(f"exit status: {s.stop(daemon)}")


main()

"""What the cases share: entry daemons as the deploy file starts them, with
settings from the template of the deploy file, and the record of a run.

The store, the workers and the engines are the project's own stand-ins from
testsuite/. A case exits with 1 if the rule was broken, 0 if it held and 2 if it
could not run."""

import contextlib
import json
import os
import pathlib
import re
import shlex
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "testsuite"))

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_SECONDS = 110

# Bounds of the site rvc-dock.
BOUNDS = {
    "grace_s": 8, "drain_ms": 2000, "retry_budget_ratio": 0.2,
    "retry_budget_slack": 107, "budget_window_s": 10}
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
STABLE_SECONDS = 3.0
APPLY_SECONDS = 2.0


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds
    since the start."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills in the few kinds of placeholders that the template has."""
    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part) if part.isdigit() else part]
        return json.dumps(found) if match[2] else str(found)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Daemon:
    """An entry daemon, started with the command of the deploy file."""

    def __init__(self, session, store, name, zone, ip, ports,
                 first_start=True):
        self.name = name
        self.ip = ip
        self.ports = ports
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = render((ROOT / role["template"]).read_text(), {
            "node_name": name, "region": "cr-central", "zone": zone, "ip": ip,
            "listen": {key: f"{ip}:{ports[port]}" for key, port in (
                ("front", "caller"), ("ready", "ready"),
                ("directory", "directory"))},
            "internal_ports": [ports["peer"], ports["metrics"]],
            "platform_store": {"address": store.server.address},
            "limits": {"cpu_share": 0.25}, "bootstrap": first_start,
            "bounds": BOUNDS})
        path = session.write_file(f"{name}.toml", settings)
        program, *arguments = shlex.split(role["run"])
        arguments[arguments.index("--config") + 1] = str(path)
        self.stdout = session.scratch_path(f"{name}.{time.time_ns()}.stdout")
        with open(self.stdout, "wb") as log:
            self.popen = subprocess.Popen(
                [str(ROOT / program), *arguments], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT)
        session.processes[f"{name}.{self.popen.pid}"] = self

    def address(self, key):
        return f"{self.ip}:{self.ports[key]}"

    def log_text(self):
        return pathlib.Path(self.stdout).read_text(errors="replace")


class Processes:
    """The processes of a case and their scratch folder. All of them are ended
    when its with-block is left."""

    def __init__(self):
        self.processes = {}
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for daemon in self.processes.values():
            if daemon.popen.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.popen.send_signal(signal.SIGCONT)
                daemon.popen.kill()
            daemon.popen.wait()
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp {self.scratch.name}/*.stdout "
                      f"{shlex.quote(os.environ['KEEP_LOGS'])}")
        self.scratch.cleanup()

    def scratch_path(self, name):
        return pathlib.Path(self.scratch.name) / name

    def write_file(self, name, text):
        path = self.scratch_path(name)
        path.write_text(text)
        return path


def run_case(folder, case):
    """Runs case(processes, record), which returns what broke the rule as a list
    of texts, and ends the program with the status that follows."""
    record = Record(folder)
    record(f"trouble={'on' if TROUBLE else 'off'}")

    def give_up(*_):
        raise TimeoutError("the case took too long")

    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LONGEST_SECONDS)
    status = 2
    try:
        with Processes() as processes:
            broken = case(processes, record)
        for text in broken:
            record(f"BROKEN {text}")
            print(f"BROKEN {text}")
        status = 1 if broken else 0
    except BaseException:
        record("COULD NOT RUN\n" + traceback.format_exc())
        traceback.print_exc()
    record(f"exit status {status}")
    print(f"exit status {status}")
    sys.stdout.flush()
    # Threads of the stand-ins do not end by themselves.
    os._exit(status)

"""Sessions of real processes for the golden cases and the demo.

A Session starts programs on free ports, sends them requests, injects faults,
and kills the processes that still run when its with-block is left. Its output
is normalised: the address of each listener is replaced by <process> or
<process/host>.
"""

import contextlib
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

READY_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 20
POLL_SECONDS = 0.01
LISTENING_PATTERN = re.compile(r"listening address=(\S+)(?: host=(\S+))?")


class ConnectionDropped(Exception):
    """The connection was refused, or closed before the complete response
    arrived."""

    def __init__(self, partial=b""):
        super().__init__(
            f"connection refused, or closed after {len(partial)} bytes of the "
            "body")
        self.partial = partial


class Response:
    """An HTTP response; the names of its headers are in lower case."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {k.lower(): v for k, v in headers}
        self.body = body

    def text(self):
        return self.body.decode()

    def json(self):
        return json.loads(self.body)


def wait_until(condition, what, timeout=READY_TIMEOUT_SECONDS):
    """Polls until condition() is true and returns its value."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"timed out after {timeout} s waiting for {what}")


def request(address, method, path, body=None, headers=None, timeout=15):
    """Sends one request on a new connection. Raises ConnectionDropped when the
    connection is refused or closed early."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Response(answer.status, answer.getheaders(), answer.read())
    except http.client.IncompleteRead as error:
        raise ConnectionDropped(error.partial) from error
    except (ConnectionError, http.client.HTTPException) as error:
        raise ConnectionDropped() from error
    finally:
        connection.close()


def parse_stream(body):
    """Returns the text of a streamed completion and whether it is complete: the
    finish_reason of its last chunk is stop, and [DONE] follows."""
    text, finished, done = "", False, False
    for line in body.decode().split("\n"):
        if not line.startswith("data: "):
            continue
        if line == "data: [DONE]":
            done = finished
            continue
        choice = json.loads(line[len("data: "):])["choices"][0]
        text += choice["delta"].get("content", "")
        finished = choice["finish_reason"] == "stop"
    return text, done


def chat(prompt, max_tokens=4, stream=True, **fields):
    """Returns the body of a chat completion request."""
    return {"messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens, "stream": stream, **fields}


def free_port(count=1):
    """Returns a port that is free for both TCP and UDP on all addresses, as
    several daemons of a session use it on addresses of their own. With a
    count, so are the ports after it."""
    while True:
        with contextlib.ExitStack() as sockets:
            port = 0
            try:
                for number in range(count):
                    tcp = sockets.enter_context(socket.socket())
                    udp = sockets.enter_context(
                        socket.socket(type=socket.SOCK_DGRAM))
                    tcp.bind(("", port + number if port else 0))
                    port = port or tcp.getsockname()[1]
                    udp.bind(("", port + number))
            except OSError:
                continue
            return port


class Process:
    """A process started by a session, with the listeners it announced."""

    def __init__(self, name, command, log):
        self.name = name
        self.addresses = []
        self.hosts = {}
        self.log = log
        self.popen = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=open(log, "wb"), text=True)
        self.reader = threading.Thread(target=self.read_listeners, daemon=True)
        self.reader.start()

    def read_listeners(self):
        for line in self.popen.stdout:
            match = LISTENING_PATTERN.search(line)
            if not match:
                continue
            self.addresses.append(match[1])
            if match[2]:
                self.hosts[match[2]] = match[1]

    @property
    def address(self):
        return self.addresses[0]

    def send_signal(self, number):
        self.popen.send_signal(number)

    def wait(self):
        """Returns the exit status."""
        return self.popen.wait(STOP_TIMEOUT_SECONDS)


class Session:
    """Starts and tracks processes; leaving the with-block kills them all."""

    def __init__(self, bin_folder=None):
        folder = bin_folder or os.environ["MONSOONDOCK_BIN"]
        self.bin = pathlib.Path(folder)
        self.processes = {}
        self.replacements = []
        self.scratch = tempfile.TemporaryDirectory(prefix="monsoondock-")

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
        if kind is not None:
            self.print_logs()
        self.keep_logs()
        self.scratch.cleanup()

    def keep_logs(self):
        """Copies the logs to where run_case.py wants them."""
        folder = os.environ.get("MONSOONDOCK_KEPT_LOGS")
        if not folder:
            return
        pathlib.Path(folder).mkdir(exist_ok=True)
        for log in pathlib.Path(self.scratch.name).iterdir():
            if log.is_file() and log.suffix in (".log", ".stdout", ".stderr"):
                shutil.copy(log, folder)

    def print_logs(self):
        for process in self.processes.values():
            lines = process.log.read_text(errors="replace").splitlines()
            print(f"--- standard error of {process.name}")
            print("\n".join(lines[-20:]))

    def scratch_path(self, name):
        """Returns the path of a file in the session's scratch folder."""
        return pathlib.Path(self.scratch.name) / name

    def write_file(self, name, text):
        """Writes a file into the session's scratch folder."""
        path = self.scratch_path(name)
        # Replaced atomically: a process may be reading the file.
        temporary = path.with_suffix(".tmp")
        temporary.write_text(text)
        temporary.replace(path)
        return path

    def launch(self, name, program, *arguments):
        """Starts a program without waiting for its listeners."""
        command = [str(self.bin / program), *map(str, arguments)]
        log = pathlib.Path(self.scratch.name) / f"{name}.{time.time_ns()}.log"
        process = Process(name, command, log)
        # The process id keeps the entries of restarted processes apart, so that
        # all are killed at the end.
        self.processes[f"{name}.{process.popen.pid}"] = process
        return process

    def start(self, name, program, *arguments, listeners=1):
        """Starts a program and waits until it has announced its listeners."""
        process = self.launch(name, program, *arguments)

        def ready():
            if process.popen.poll() is not None:
                raise RuntimeError(f"{name} exited during start-up")
            return len(process.addresses) >= listeners

        wait_until(ready, f"listeners of {name}")
        self.mask_addresses(process)
        return process

    def run_tool(self, program, *arguments, timeout=30):
        """Runs a program to completion and returns its CompletedProcess."""
        return subprocess.run(
            [str(self.bin / program), *map(str, arguments)],
            capture_output=True, text=True, timeout=timeout)

    def mask_addresses(self, process):
        """Replaces the addresses of a process by its name in the output."""
        names = {address: host for host, address in process.hosts.items()}
        for address in process.addresses:
            host = names.get(address)
            shown = f"<{process.name}/{host}>" if host else f"<{process.name}>"
            self.replacements.append((re.escape(address) + r"\b", shown))

    def stop(self, process):
        """Sends SIGTERM to a process and returns its exit status."""
        process.send_signal(signal.SIGTERM)
        return process.wait()

    def kill(self, process):
        process.popen.kill()
        process.wait()

    def pause(self, process):
        process.send_signal(signal.SIGSTOP)

    def resume(self, process):
        process.send_signal(signal.SIGCONT)

    def fault(self, address, **faults):
        """Sets the fault injection of a stand-in."""
        answer = request(address, "POST", "/standin/faults", faults)
        assert answer.status == 200, answer.text()

    def add_replacement(self, pattern, replacement):
        """Replaces every match of pattern in later output."""
        self.replacements.append((pattern, replacement))

    def normalise(self, text):
        for pattern, replacement in self.replacements:
            text = re.sub(pattern, replacement, text)
        return text

    def say(self, text):
        """Prints normalised text."""
        print(self.normalise(text), flush=True)

    def show(self, label, call, *arguments, **named):
        """Calls a function that returns a Response and prints the outcome."""
        try:
            answer = call(*arguments, **named)
        except ConnectionDropped as error:
            self.say(f"{label}: dropped after {len(error.partial)} bytes")
            return None
        self.say(f"{label}: {answer.status} {answer.text()}")
        return answer

    def show_request(self, label, address, method, path, body=None, **named):
        """Sends a request and prints the outcome."""
        return self.show(label, request, address, method, path, body, **named)

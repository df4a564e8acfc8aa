#!/usr/bin/env python3
"""Measures the relay overhead of monsoondock's traffic library and prints one
table. The client connects to the engine directly, through a relay that only
copies bytes, and through a server with the traffic library, each with several
numbers of concurrent streams.

usage: bench.py [--bin DIR] [--seconds N] [--streams 1,100,1000]
"""

import argparse
import json
import os
import pathlib
import socket
import subprocess
import time

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def resident_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def wait_for_port(port):
    for _ in range(500):
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.01)
    raise SystemExit(f"port {port} not listening after 500 attempts")


class RoleProcess:
    """Process of one benchmark role; killed when the with block exits."""

    def __init__(self, program, role, **flags):
        arguments = [f"--{k}={v}" for k, v in flags.items()]
        self.process = subprocess.Popen(
            [program, f"--role={role}", *arguments],
            stderr=subprocess.DEVNULL)
        wait_for_port(flags["listen"])

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()


def run_client(program, port, streams, seconds, proxy_pid):
    command = [program, "--role=client", f"--target={port}",
               f"--streams={streams}", f"--seconds={seconds}"]
    idle_kb = resident_kb(proxy_pid) if proxy_pid else 0
    client = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    # Warm-up of the client: two seconds and one response of 64 tokens at the
    # default interval of 68 ms.
    time.sleep(2 + 64 * 0.068)
    cpu_before = cpu_seconds(proxy_pid) if proxy_pid else 0
    started = time.monotonic()
    time.sleep(seconds)
    cpu_used = cpu_seconds(proxy_pid) - cpu_before if proxy_pid else 0
    core_share = cpu_used / (time.monotonic() - started)
    busy_kb = resident_kb(proxy_pid) if proxy_pid else 0
    result = json.loads(client.communicate()[0])
    result["core_share"] = core_share
    result["kb_per_stream"] = (busy_kb - idle_kb) / streams
    return result


def measure(program, setup, streams, seconds):
    engine_port, proxy_port = free_port(), free_port()
    with RoleProcess(program, "engine", listen=engine_port):
        if setup == "direct":
            return run_client(program, engine_port, streams, seconds, None)
        with RoleProcess(program, setup, listen=proxy_port,
                         target=engine_port) as proxy:
            return run_client(program, proxy_port, streams, seconds,
                              proxy.process.pid)


def format_row(setup, streams, r):
    per_core = r["tokens_per_s"] / r["core_share"] if r["core_share"] else 0
    return (f"| {setup} | {streams} | {r['first_p50_us']:.0f} | "
            f"{r['first_p99_us']:.0f} | {r['token_p50_us']:.0f} | "
            f"{r['token_p99_us']:.0f} | {r['tokens_per_s']:.0f} | "
            f"{r['requests_per_s']:.1f} | {100 * r['core_share']:.1f} | "
            f"{per_core:.0f} | {r['kb_per_stream']:.1f} | {r['failures']} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/release/bin")
    parser.add_argument("--seconds", type=int, default=5)
    parser.add_argument("--streams", default="1,100,1000")
    arguments = parser.parse_args()
    program = os.path.join(arguments.bin, "monsoondock-bench")
    print("| setup | streams | first p50 us | first p99 us | token p50 us | "
          "token p99 us | tokens/s | requests/s | core % | tokens/s per core "
          "| KB per stream | failures |")
    print("|---|---|---|---|---|---|---|---|---|---|---|---|")
    for streams in (int(n) for n in arguments.streams.split(",")):
        for setup in ("direct", "relay", "server"):
            result = measure(program, setup, streams, arguments.seconds)
            print(format_row(setup, streams, result), flush=True)


if __name__ == "__main__":
    main()

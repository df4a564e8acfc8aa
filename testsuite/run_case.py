#!/usr/bin/env python3
"""Runs one golden case and compares its output with ref/out.txt.

usage: run_case.py FOLDER --bin BIN_FOLDER [--update] [--timeout SECONDS]

The case runs in its own process group, which is killed at the end so that no
process outlives the case. --update writes the output to ref/out.txt instead.
"""

import argparse
import difflib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile

LOG_LINES = 40


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--bin", type=pathlib.Path, required=True)
    parser.add_argument("--update", action="store_true")
    parser.add_argument("--timeout", type=float, default=100.0)
    return parser.parse_args()


def kill_group(process):
    try:
        os.killpg(process.pid, signal.SIGKILL)
    except ProcessLookupError:
        pass


def print_logs(folder):
    """Prints the last lines of the logs that a killed case has left."""
    for log in sorted(pathlib.Path(folder).rglob("*")):
        if not log.is_file() or log.suffix == ".toml":
            continue
        lines = log.read_text(errors="replace").splitlines()
        print(f"--- {log.name}")
        print("\n".join(lines[-LOG_LINES:]))


def kept_logs(scratch):
    """Returns the folder into which sessions copy their logs at their end."""
    return pathlib.Path(scratch) / "kept-logs"


def keep_logs(arguments, scratch):
    """Keeps the logs of a case that failed beside the build."""
    folder = (arguments.bin.resolve().parent / "golden-logs" /
              arguments.folder.name)
    shutil.rmtree(folder, ignore_errors=True)
    if kept_logs(scratch).is_dir():
        shutil.copytree(kept_logs(scratch), folder)
        print(f"logs are in golden-logs/{folder.name} of the build")


def run(arguments, scratch):
    """Returns the output and the exit status of the case, whose temporary files
    are in the folder scratch."""
    environment = dict(os.environ)
    environment["MONSOONDOCK_BIN"] = str(arguments.bin.resolve())
    environment["PYTHONPATH"] = str(pathlib.Path(__file__).resolve().parent)
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    environment["TMPDIR"] = scratch
    environment["MONSOONDOCK_KEPT_LOGS"] = str(kept_logs(scratch))
    process = subprocess.Popen(
        [sys.executable, str(arguments.folder / "run.py")],
        stdout=subprocess.PIPE,
        env=environment,
        start_new_session=True,
        text=True)
    try:
        output, _ = process.communicate(timeout=arguments.timeout)
        return output, process.returncode
    except subprocess.TimeoutExpired:
        kill_group(process)
        output, _ = process.communicate()
        print_logs(scratch)
        return output + "TIMEOUT\n", 1
    finally:
        kill_group(process)


def main():
    arguments = parse_arguments()
    with tempfile.TemporaryDirectory(prefix="monsoondock-case-") as scratch:
        output, status = run(arguments, scratch)
        reference = arguments.folder / "ref" / "out.txt"
        if not arguments.update and (
                status != 0 or output != reference.read_text()):
            keep_logs(arguments, scratch)
    if arguments.update:
        reference.write_text(output)
        return status
    expected = reference.read_text()
    sys.stdout.writelines(difflib.unified_diff(
        expected.splitlines(True), output.splitlines(True),
        "ref/out.txt", "output"))
    if status != 0:
        print(f"run.py exited with status {status}")
    return 1 if status != 0 or output != expected else 0


if __name__ == "__main__":
    sys.exit(main())

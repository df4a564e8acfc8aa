#!/usr/bin/env python3
"""A worker process that answers with raw bytes and ends as it is told.

usage: raw_worker.py PORT CONTROL_PORT NAME

For each request it sends its name and the request to the control port, as a
line of JSON, and carries out the steps that it gets:

    ["send", TEXT]   send the text
    ["wait", SECONDS]
    ["close"]        close the connection in order
    ["reset"]        reset the connection
    ["kill"]         kill this process with SIGKILL; the kernel ends its
                     connections and its listener
    ["silence"]      send nothing more until the peer closes

Steps without an end keep the connection open for the next request. Early steps
are carried out before the body of the request has been read.
"""

import json
import os
import signal
import socket
import struct
import sys
import threading
import time

RESET = struct.pack("ii", 1, 0)


def ask(control_port, question):
    with socket.create_connection(("127.0.0.1", control_port)) as connection:
        connection.sendall(json.dumps(question).encode() + b"\n")
        with connection.makefile("rb") as reader:
            return json.loads(reader.readline())


def carry_out(connection, steps):
    """Returns whether the connection stays open."""
    for name, *values in steps:
        if name == "send":
            connection.sendall(values[0].encode())
        elif name == "wait":
            time.sleep(values[0])
        elif name == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif name == "silence":
            while connection.recv(65536):
                pass
            return False
        else:
            if name == "reset":
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
    return True


def read_head(reader):
    lines = []
    while True:
        line = reader.readline()
        if line in (b"", b"\r\n"):
            return lines
        lines.append(line.decode().rstrip("\r\n"))


def serve(connection, control_port, name):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = connection.makefile("rb")
    try:
        while True:
            head = read_head(reader)
            if not head:
                break
            fields = dict(line.split(": ", 1) for line in head[1:])
            length = int(fields.get("Content-Length", 0))
            question = {"worker": name, "request": head[0], "fields": fields}
            if not fields.get("X-Early"):
                question["body"] = reader.read(length).decode()
            if not carry_out(connection, ask(control_port, question)):
                break
            if "body" not in question:
                reader.read(length)
    except OSError:
        # The peer has gone.
        pass
    reader.close()
    connection.close()


def main():
    port, control_port, name = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
    listener = socket.create_server(("127.0.0.1", port), backlog=128)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, control_port, name),
                         daemon=True).start()


if __name__ == "__main__":
    main()

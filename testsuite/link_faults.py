"""Faults of the links from one daemon to upstreams. A library in the daemon's
process, link_faults/link_faults.cpp, carries them out; other processes reach
the same upstreams meanwhile."""

import mmap
import os
import socket
import struct

STATE_BYTES = 4 + 2 + 2 + 2 * 256

# Modes of the links; see link_faults.cpp.
OPEN, RESET, SILENT, NEW_REFUSED = range(4)
MODES = {"reset": RESET, "silent": SILENT, "new_refused": NEW_REFUSED}


class LinkFaults:
    """The links of one daemon, all open at first."""

    def __init__(self, session, name):
        self.path = session.scratch_path(f"{name}.links")
        self.library = session.bin / "liblink_faults.so"
        with open(self.path, "wb") as file:
            file.write(bytes(STATE_BYTES))
        with open(self.path, "r+b") as file:
            self.state = mmap.mmap(file.fileno(), STATE_BYTES)
        # A listener whose queue is full does not answer connections.
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.silent_port = self.listener.getsockname()[1]
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.silent_port))
            self.fillers.append(filler)

    def environment(self):
        """Returns the environment of the daemon."""
        return {**os.environ, "LD_PRELOAD": str(self.library),
                "LINK_FAULTS_FILE": str(self.path)}

    def cut(self, mode, workers):
        """Cuts the links to the workers."""
        ports = [w.server.port for w in workers]
        self.state[4:8 + 2 * len(ports)] = struct.pack(
            f"=HH{len(ports)}H", self.silent_port, len(ports), *ports)
        self.state[0:4] = struct.pack("=I", MODES[mode])

    def restore(self):
        self.state[0:4] = struct.pack("=I", OPEN)

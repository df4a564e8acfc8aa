"""Faults of the links from one daemon to upstreams. The daemon is built with
link_faults/link_faults_test.cpp, which carries them out; other processes reach
the same upstreams meanwhile."""

import os
import socket
import struct

STATE_BYTES = 4 + 2 + 2 + 2 * 256

# Modes of the links; see link_faults_test.cpp.
OPEN, RESET, SILENT, NEW_REFUSED = range(4)
MODES = {"reset": RESET, "silent": SILENT, "new_refused": NEW_REFUSED}


class LinkFaults:
    """The links of one daemon, all open at first."""

    def __init__(self, session, name):
        self.path = session.scratch_path(f"{name}.links")
        self.program = session.bin / "monsoondockd-link-faults"
        with open(self.path, "wb") as file:
            file.write(bytes(STATE_BYTES))
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
        return {**os.environ, "LINK_FAULTS_FILE": str(self.path)}

    def cut(self, mode, workers):
        """Cuts the links to the workers."""
        ports = [int(w.entry["address"].rsplit(":", 1)[1]) for w in workers]
        self.write(MODES[mode], ports)

    def restore(self):
        self.write(OPEN, [])

    def write(self, mode, ports):
        """Writes the state, which the daemon reads at once, in one call."""
        state = struct.pack(f"=IHH{len(ports)}H", mode, self.silent_port,
                            len(ports), *ports)
        with open(self.path, "r+b", buffering=0) as file:
            file.write(state.ljust(STATE_BYTES, b"\0"))

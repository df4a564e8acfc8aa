"""A loopback TCP proxy that injects network faults."""

import contextlib
import random
import socket
import struct
import threading
import time

CHUNK_BYTES = 16384
POLL_SECONDS = 0.02
MAX_DELAY_SECONDS = 0.3

# Modes of a proxy: forward bytes; forward them late; reset connections; drop
# the bytes to the server, or those from it; drop both, and accept connections
# without connecting to the server.
MODES = ("pass", "delay", "reset", "cut_to", "cut_from", "silent")


class Proxy:
    """Forwards connections to one address according to its mode. A change of
    mode also applies to open connections."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.mode = "pass"
        self.dropped_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def inject_fault(self, mode, seconds):
        """Switches to a mode for the given time, then back to pass."""
        self.mode = mode
        time.sleep(seconds)
        self.mode = "pass"

    def close_listener(self):
        """Refuses connections from now on, as the address of a process does
        that has ended."""
        # A close alone does not end an accept of the other thread.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                # close_listener
                return
            threading.Thread(
                target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        while self.mode == "silent":
            time.sleep(POLL_SECONDS)
        try:
            server = socket.create_connection(self.target)
        except OSError:
            reset(client)
            return
        ends = (client, server)
        for source, sink, dropped in ((client, server, "cut_to"),
                                      (server, client, "cut_from")):
            threading.Thread(
                target=self.pump, args=(source, sink, ends, dropped),
                daemon=True).start()

    def pump(self, source, sink, ends, dropped):
        # TCP has no gaps: once bytes are dropped, all later ones are too.
        lost = False
        try:
            while data := source.recv(CHUNK_BYTES):
                mode = self.mode
                if mode == "reset":
                    break
                if mode == "delay":
                    time.sleep(random.uniform(0, MAX_DELAY_SECONDS))
                lost = lost or mode in (dropped, "silent")
                if lost:
                    self.dropped_bytes += len(data)
                else:
                    sink.sendall(data)
            else:
                # A lost FIN is sent again, but it does not pass lost bytes.
                while self.mode in (dropped, "silent"):
                    time.sleep(POLL_SECONDS)
                if not lost and self.mode != "reset":
                    sink.shutdown(socket.SHUT_WR)
                    return
        except OSError:
            pass
        for end in ends:
            reset(end)


def reset(connection):
    """Closes a connection so that the other end sees a reset."""
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Ends a recv of the other thread, which would keep the socket open.
        connection.shutdown(socket.SHUT_RD)
        connection.close()
    except OSError:
        # The pump of the other direction has closed it.
        pass

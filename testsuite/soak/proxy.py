"""A loopback proxy that hinders the connections that pass through it."""

import random
import socket
import struct
import threading
import time

CHUNK_BYTES = 16384
PAUSE_SECONDS = 0.02
LONGEST_DELAY_SECONDS = 0.3

# What a proxy can do: pass bytes on; pass them on late; close connections by
# resets; drop what callers send, or what servers answer; drop both and accept
# connections that lead nowhere.
MODES = ("pass", "delay", "reset", "cut_to", "cut_from", "silent")


class Proxy:
    """Passes connections on to one address, as its mode says. A change of
    mode holds for open connections too."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.mode = "pass"
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def hinder(self, mode, seconds):
        """Works in a mode for a while."""
        self.mode = mode
        time.sleep(seconds)
        self.mode = "pass"

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(
                target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        while self.mode == "silent":
            time.sleep(PAUSE_SECONDS)
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
        # A network loses the rest of a connection, never a piece of it.
        lost = False
        try:
            while data := source.recv(CHUNK_BYTES):
                mode = self.mode
                if mode == "reset":
                    break
                if mode == "delay":
                    time.sleep(random.uniform(0, LONGEST_DELAY_SECONDS))
                lost = lost or mode in (dropped, "silent")
                if not lost:
                    sink.sendall(data)
            else:
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
        connection.close()
    except OSError:
        # The other pump has closed it.
        pass

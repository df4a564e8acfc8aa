#!/usr/bin/env python3
"""Tests of the proxy that injects network faults."""

import pathlib
import socket
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from proxy import Proxy  # noqa: E402
from session import wait_until  # noqa: E402

TIMEOUT_SECONDS = 10


class Ends(unittest.TestCase):
    def setUp(self):
        self.connect()

    def connect(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.proxy = Proxy("127.0.0.1:%d" % self.listener.getsockname()[1])
        host, port = self.proxy.address.rsplit(":", 1)
        self.client = socket.create_connection(
            (host, int(port)), timeout=TIMEOUT_SECONDS)
        self.addCleanup(self.client.close)
        self.server, _ = self.listener.accept()
        self.addCleanup(self.server.close)
        self.server.sendall(b"first")
        self.assertEqual(self.client.recv(100), b"first")

    def test_an_orderly_end_is_passed_on(self):
        self.server.sendall(b"second")
        self.server.close()
        self.assertEqual(self.client.recv(100), b"second")
        self.assertEqual(self.client.recv(100), b"")

    # An orderly end behind dropped bytes, which TCP never delivers, made
    # truncated responses look complete.
    def test_no_orderly_end_follows_dropped_bytes(self):
        for mode in ("cut_from", "silent"):
            with self.subTest(mode):
                self.connect()
                self.proxy.mode = mode
                self.server.sendall(b"dropped")
                self.server.close()
                wait_until(lambda: self.proxy.dropped_bytes, "drop",
                           TIMEOUT_SECONDS)
                self.proxy.mode = "pass"
                with self.assertRaises(ConnectionResetError):
                    self.client.recv(100)

    def test_an_end_behind_which_nothing_is_lost_comes_late(self):
        self.proxy.mode = "silent"
        self.server.close()
        self.client.settimeout(0.1)
        with self.assertRaises(TimeoutError):
            self.client.recv(100)
        self.client.settimeout(TIMEOUT_SECONDS)
        self.proxy.mode = "pass"
        self.assertEqual(self.client.recv(100), b"")

    def test_a_worker_that_has_fallen_refuses_connections(self):
        self.proxy.close_listener()

        def is_refused():
            host, port = self.proxy.address.rsplit(":", 1)
            try:
                socket.create_connection((host, int(port))).close()
            except ConnectionRefusedError:
                return True
            return False

        wait_until(is_refused, "refusal", TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()

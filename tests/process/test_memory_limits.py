"""Tests of papayaplank_edge against crowds that make it hold memory or sockets.

Such crowds ended a router: it held each request body whole, and nothing limited
their sum. Whatever they send, the process lives, its memory stays within
--memory_limit_mb and its descriptors within --max_descriptors, and an ordinary
request is answered while the crowd stays connected.
"""

import http.client
import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

MEMORY_LIMIT_MB = 64
MAX_DESCRIPTORS = 400
BODY_LIMIT = 1 << 20
CROWD = 96        # With bodies of legal size 1.5 times the memory limit.
IDLE_CROWD = 400  # As many as there are descriptors.
SEND_SECONDS = 5  # A caller whose bytes nobody takes for so long gives up.


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(number, framing):
    return (f"POST /read/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"Attempt-Id: crowd{number}\r\nCredential: key-1\r\n"
            f"Deadline-Ms: 60000\r\n{framing}\r\n\r\n").encode()


class Crowd:
    """Callers that send pieces in turn and stay connected."""

    def __init__(self, port, count):
        self.sockets = []
        for _ in range(count):
            try:
                caller = socket.create_connection(("127.0.0.1", port),
                                                  timeout=SEND_SECONDS)
                self.sockets.append(caller)
            except OSError:
                pass  # The router refuses callers of this kind.

    def send(self, piece):
        """Sends to each caller's connection; `piece` gets its number."""
        for number, caller in enumerate(self.sockets):
            try:
                caller.sendall(piece(number))
            except OSError:
                pass  # The router has closed the connection.

    def close(self):
        for caller in self.sockets:
            caller.close()


class MemoryLimitsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        document = configuration(1)
        # The crowd stays connected for longer than the test takes.
        document["limits"].update({"max-body-bytes": BODY_LIMIT,
                                   "header-timeout-ms": 60000,
                                   "idle-timeout-ms": 60000})
        self.store.put("op", "config", document)
        self.targets = [standin.Target(self.store, f"t{i}", "s")
                        for i in range(2)]
        for target in self.targets:
            target.row["slots"] = 2 * CROWD
            self.store.put("servers", target.name, target.row)
        self.edge = Edge(self.store, "e0", flags=[
            f"--memory_limit_mb={MEMORY_LIMIT_MB}",
            f"--max_descriptors={MAX_DESCRIPTORS}"])
        wait_for(self.edge.is_ready, "the router is ready")
        wait_for(lambda: sum(line["event"] == "target_joined"
                             for line in self.edge.lines) == 2,
                 "both targets have joined")
        self.crowd = None

    def tearDown(self):
        if self.crowd:
            self.crowd.close()
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def ask(self):
        """Status of an ordinary request; None if the connection is closed."""
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=10)
        try:
            connection.request("POST", "/read/ordinary", b"hello", {
                "Host": "shop.example", "Credential": "key-1",
                "Attempt-Id": f"ordinary{time.monotonic_ns()}",
                "Deadline-Ms": "6000"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def check(self):
        self.assertIsNone(self.edge.process.poll(), "the process has ended")
        proc = f"/proc/{self.edge.process.pid}"
        with open(f"{proc}/status", encoding="ascii") as file:
            peak_kb = next(int(line.split()[1]) for line in file
                           if line.startswith("VmHWM:"))
        self.assertLess(peak_kb, MEMORY_LIMIT_MB * 1024)
        self.assertLessEqual(len(os.listdir(f"{proc}/fd")), MAX_DESCRIPTORS)
        wait_for(lambda: self.ask() == 200, "an ordinary request is answered")
        self.assertIsNone(self.edge.process.poll(), "the process has ended")

    def send_chunked(self, piece, pieces):
        self.crowd = Crowd(self.edge.caller, CROWD)
        self.crowd.send(lambda n: head(n, "Transfer-Encoding: chunked"))
        for _ in range(pieces):
            self.crowd.send(lambda n: piece)

    def test_large_chunks_that_stop_short_of_the_end(self):
        self.send_chunked(chunk(b"x" * 65535), 16)
        self.check()

    def test_small_chunks_that_stop_short_of_the_end(self):
        self.send_chunked(chunk(b"x" * 16) * 4095, 16)
        self.check()

    def test_chunks_far_over_the_limit(self):
        self.send_chunked(chunk(b"x" * 65536), 128)
        self.check()

    def test_an_announced_length_far_over_the_limit(self):
        self.crowd = Crowd(self.edge.caller, CROWD)
        self.crowd.send(lambda n: head(n, f"Content-Length: {1 << 30}"))
        for _ in range(32):
            self.crowd.send(lambda n: b"x" * 65536)
        self.check()

    def test_legal_bodies_that_stop_short_of_the_end(self):
        self.crowd = Crowd(self.edge.caller, CROWD)
        self.crowd.send(lambda n: head(n, f"Content-Length: {BODY_LIMIT}") +
                        b"x" * (BODY_LIMIT - 1))
        self.check()

    def test_legal_bodies_piece_by_piece(self):
        self.crowd = Crowd(self.edge.caller, CROWD)
        self.crowd.send(lambda n: head(n, f"Content-Length: {BODY_LIMIT}"))
        for _ in range(31):
            self.crowd.send(lambda n: b"x" * 32768)
        self.check()

    # The targets take the bodies and never answer, so that the router may need
    # them again.
    def test_whole_legal_bodies(self):
        for target in self.targets:
            target.faults = ["hang"] * CROWD
        self.crowd = Crowd(self.edge.caller, CROWD)
        self.crowd.send(lambda n: head(n, f"Content-Length: {BODY_LIMIT}") +
                        b"x" * BODY_LIMIT)
        for target in self.targets:
            target.faults = []
        self.check()

    def test_connections_that_send_nothing(self):
        self.crowd = Crowd(self.edge.caller, IDLE_CROWD)
        self.check()

    def test_heads_that_come_byte_by_byte(self):
        self.crowd = Crowd(self.edge.caller, IDLE_CROWD)
        for byte in b"POST":
            self.crowd.send(lambda n, byte=byte: bytes([byte]))
        self.check()


if __name__ == "__main__":
    unittest.main()

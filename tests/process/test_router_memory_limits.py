"""Tests of papayaplank_router against crowds that make it hold memory or
sockets.

It held each request body whole, and nothing limited their sum, nor were silent
connections limited by a setting. Whatever a crowd sends, the process lives, its
memory stays within --memory_limit_mb and its descriptors within
--max_connections and those of its own, and an ordinary request is answered
while the crowd stays connected.
"""

import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import raw_targets as raw  # noqa: E402

MEMORY_LIMIT_MB = 128
MAX_CONNECTIONS = 200
OWN_DESCRIPTORS = 64  # Listeners, peers, stores and connections to targets.
BODY_LIMIT = 4 << 20
CROWD = 64        # With bodies of legal size twice the memory limit.
IDLE_CROWD = 400  # Twice the connections.
SEND_SECONDS = 5  # A caller whose bytes nobody takes for so long gives up.
SETTLE_SECONDS = 15


def head(framing):
    key = raw.fleets.key_of(raw.CUSTOMERS[0])
    return (f"POST /desk/capture HTTP/1.1\r\nHost: router\r\n"
            f"Authorization: Bearer {key}\r\n{framing}\r\n\r\n").encode()


class Crowd:
    """Callers that send pieces in turn and stay connected."""

    def __init__(self, address, count):
        host, port = address.split(":")
        self.sockets = []
        for _ in range(count):
            try:
                self.sockets.append(socket.create_connection(
                    (host, int(port)), timeout=SEND_SECONDS))
            except OSError:
                pass  # The router refuses callers of this kind.

    def send(self, piece):
        for caller in self.sockets:
            try:
                caller.sendall(piece)
            except OSError:
                pass  # The router has closed the connection.

    def close(self):
        for caller in self.sockets:
            caller.close()


class MemoryLimitsTest(unittest.TestCase):
    def setUp(self):
        # Set in the environment, where a version without these flags ignores
        # them instead of refusing to start.
        settings = {"PAPAYAPLANK_MEMORY_LIMIT_MB": MEMORY_LIMIT_MB,
                    "PAPAYAPLANK_MAX_CONNECTIONS": MAX_CONNECTIONS}
        for name, value in settings.items():
            os.environ[name] = str(value)
            self.addCleanup(os.environ.pop, name)
        self.target = raw.RawTarget(self.serve, count=2)
        self.fleet = raw.RawFleet(BUILD, service=self.target)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.router = self.fleet.routers[0]
        self.assertEqual(self.ask(), 200)

    @staticmethod
    def serve(connection, request):
        body = b"%d" % len(request.body)
        connection.sendall(raw.answer(request, 200, body))
        return True

    def gather(self, count):
        crowd = Crowd(self.router.caller, count)
        self.addCleanup(crowd.close)
        return crowd

    def ask(self, body=b"{}"):
        """Status of an ordinary request; 0 if the connection is closed."""
        try:
            answer = raw.ask(self.router, "/desk/capture", body,
                             customer=raw.CUSTOMERS[1])
        except OSError:
            return 0
        if answer.status == 200:
            self.assertEqual(answer.body, b"%d" % len(body))
        return answer.status

    def measure(self):
        """Peak memory in kB and number of open descriptors."""
        proc = f"/proc/{self.router.process.pid}"
        with open(f"{proc}/status", encoding="ascii") as file:
            peak_kb = next(int(line.split()[1]) for line in file
                           if line.startswith("VmHWM:"))
        return peak_kb, len(os.listdir(f"{proc}/fd"))

    def check(self):
        self.assertIsNone(self.router.process.poll(), "the process has ended")
        # The router may read what was sent only after the crowd has sent it.
        before = None
        now = self.measure()
        for _ in range(SETTLE_SECONDS):
            if now == before:
                break
            time.sleep(1)
            before, now = now, self.measure()
        peak_kb, descriptors = now
        print(f"{self.id()}: peak {peak_kb} kB, {descriptors} descriptors",
              file=sys.stderr)
        self.assertLess(peak_kb, MEMORY_LIMIT_MB * 1024)
        self.assertLessEqual(descriptors, MAX_CONNECTIONS + OWN_DESCRIPTORS)
        raw.fleets.wait_until(lambda: self.ask() == 200, SETTLE_SECONDS,
                              "an ordinary request is answered")
        self.assertIsNone(self.router.process.poll(), "the process has ended")

    def send_chunked(self, piece, pieces):
        crowd = self.gather(CROWD)
        crowd.send(head("Transfer-Encoding: chunked"))
        for _ in range(pieces):
            crowd.send(piece)

    def test_large_chunks_that_stop_short_of_the_end(self):
        self.send_chunked(raw.chunk(b"x" * 65535), 64)
        self.check()

    def test_small_chunks_that_stop_short_of_the_end(self):
        self.send_chunked(raw.chunk(b"x" * 16) * 4095, 64)
        self.check()

    def test_chunks_far_over_the_limit(self):
        self.send_chunked(raw.chunk(b"x" * 65536), 256)
        self.check()

    def test_an_announced_length_far_over_the_limit(self):
        crowd = self.gather(CROWD)
        crowd.send(head(f"Content-Length: {1 << 30}"))
        for _ in range(128):
            crowd.send(b"x" * 65536)
        self.check()

    def test_legal_bodies_that_stop_short_of_the_end(self):
        crowd = self.gather(CROWD)
        crowd.send(head(f"Content-Length: {BODY_LIMIT}") +
                   b"x" * (BODY_LIMIT - 1))
        self.check()

    # A request that was given up must not run, nor be lost without an answer.
    def test_callers_that_finish_late_run_once_or_get_503(self):
        crowd = self.gather(CROWD)
        crowd.send(head(f"Content-Length: {BODY_LIMIT}") +
                   b"x" * (BODY_LIMIT - 1))
        crowd.send(b"x")
        answers = [raw.receive(caller) for caller in crowd.sockets]
        ran = [request.id for request in self.target.requests
               if len(request.body) == BODY_LIMIT]
        self.assertEqual(len(ran), len(set(ran)))
        for answer in answers:
            self.assertIn(answer.status, (200, 503), answer)
            has_run = answer.headers["x-request-id"] in ran
            self.assertEqual(has_run, answer.status == 200, answer)
            if answer.status == 503:
                self.assertEqual(answer.ran, "no")
        self.assertIn(503, {answer.status for answer in answers})
        self.assertIn(200, {answer.status for answer in answers})
        self.check()

    def test_legal_bodies_piece_by_piece(self):
        crowd = self.gather(CROWD)
        crowd.send(head(f"Content-Length: {BODY_LIMIT}"))
        for _ in range(63):
            crowd.send(b"x" * 65536)
        self.check()

    def test_connections_that_send_nothing(self):
        self.gather(IDLE_CROWD)
        self.check()

    # The limits must leave room for what one caller may send.
    def test_one_body_of_legal_size_is_served(self):
        self.assertEqual(self.ask(b"x" * BODY_LIMIT), 200)
        self.check()


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()

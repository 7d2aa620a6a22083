"""Tests of papayaplank_router against targets that send bytes without end: its
memory stays bounded, the connection is closed, and others are served."""

import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import raw_targets as raw  # noqa: E402

# Growth of the process that one sender may cause, kB.
MEMORY_SLACK_KB = 24 * 1024
# A sender that is not stopped sends so much.
MAX_BYTES = 512 * 1024 * 1024
# Longer than the router lets a silent target wait.
ANSWER_SECONDS = 5
FILLER = b"x" * 65536
FIELDS = b"".join(b"Name-%d: value\r\n" % i for i in range(4096))


class EndlessBytesTest(unittest.TestCase):
    def setUp(self):
        self.endless = None  # First bytes, and those that follow without end.
        self.sent = 0
        self.ended = threading.Event()
        self.target = raw.RawTarget(count=2)
        self.target.serve = self.serve
        self.engine = raw.RawTarget(self.serve, count=2)
        self.fleet = raw.RawFleet(BUILD, self.engine, self.target)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.ask()
        self.memory_before = self.memory_peak()

    def serve(self, connection, request):
        if self.endless is None:
            connection.sendall(raw.answer(request, 200, b"fine"))
            return True
        first, repeated = self.endless(request)
        try:
            connection.sendall(first)
            while self.sent < MAX_BYTES:
                connection.sendall(repeated)
                self.sent += len(repeated)
        finally:
            self.ended.set()
        return False

    def ask(self):
        return raw.ask(self.fleet.routers[0], "/desk/capture", b"{}")

    def memory_peak(self):
        pid = self.fleet.routers[0].process.pid
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        raise AssertionError("no VmHWM line")

    def check(self, endless):
        self.endless = endless
        began = time.monotonic()
        answer = self.ask()
        self.assertEqual(answer.status, 502, answer)
        self.check_ended(began)

    def check_ended(self, began):
        self.assertLess(time.monotonic() - began, ANSWER_SECONDS)
        self.assertTrue(self.ended.wait(ANSWER_SECONDS),
                        "the connection to the target stays open")
        self.endless = None
        self.assertLess(self.memory_peak() - self.memory_before,
                        MEMORY_SLACK_KB)
        self.assertEqual(self.ask().status, 200)

    def test_a_head_without_end(self):
        self.check(lambda request: (b"HTTP/1.1 200 X\r\n", FIELDS))

    def test_a_header_line_without_end(self):
        self.check(lambda request: (b"HTTP/1.1 200 X\r\nName: ", FILLER))

    def test_interim_answers_without_end(self):
        self.check(lambda request: (
            b"", b"HTTP/1.1 103 X\r\nName: value\r\n\r\n" * 1024))

    def test_bytes_that_are_no_head(self):
        self.check(lambda request: (b"", FILLER))

    def test_a_chunk_extension_without_end(self):
        self.check(lambda request: (
            raw.head(request, 200, raw.CHUNKED) + b"5;", FILLER))

    # The head of a stream is passed on before its first event.
    def test_an_event_without_end_in_small_chunks(self):
        self.endless = lambda request: (raw.stream_head(request),
                                        raw.chunk(b":\n") * 8192)
        began = time.monotonic()
        answer = raw.ask(self.fleet.routers[0])
        self.assertEqual((answer.status, answer.body, answer.is_whole),
                         (200, b"", False))
        self.check_ended(began)

    def test_the_body_of_another_request(self):
        self.check(lambda request: (
            b"HTTP/1.1 200 X\r\nX-Request-Id: other\r\n\r\n", FILLER))


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()

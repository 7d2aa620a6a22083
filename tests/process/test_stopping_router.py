"""Tests that a router which is stopped answers every request that it takes."""

import http.client
import os
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import (  # noqa: E402
    Edge, configuration, get, route, wait_for)

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

GRACE_SECONDS = 8  # Between the signal and the kill.
CALLERS = 12
GAP_SECONDS = 0.4
LONG_MS = "4000"  # Time limit of requests that take long, and of quick ones.


class SlowTarget(standin.Target):
    """Takes as long as the header `Run-Seconds` of a request says."""

    def serve(self, connection, start, headers, body):
        if not self.faults:
            time.sleep(float(headers.get("run-seconds", 0)))
        return super().serve(connection, start, headers, body)


class StoppingRouterTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(
            1, extra=[route("/open/", "non_idempotent", public=True),
                      route("/long/", "non_idempotent",
                            **{"timeout-ms": 20000}),
                      route("/long/read/", "idempotent",
                            **{"timeout-ms": 20000})]))
        self.targets = [SlowTarget(self.store, f"t{i}", "s")
                        for i in range(2 * CALLERS)]
        self.edge = Edge(self.store, "e0")
        wait_for(self.edge.is_ready, "the router is ready")
        self.answers = {}

    def tearDown(self):
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def connect(self):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.edge.caller, timeout=20)
        connection.connect()
        return connection

    def ask(self, connection, number, path="/write/1", limit_ms="6000",
            run_seconds=0.0):
        """The status of a whole answer; None if it did not come."""
        try:
            connection.request("POST", path, b"x", {
                "Host": "shop.example", "Attempt-Id": f"id{number}",
                "Credential": "key-1", "Deadline-Ms": limit_ms,
                "Run-Seconds": str(run_seconds)})
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def stop_among(self, calls):
        """Stops the router and runs `calls`: pairs of the second after the
        signal, and a function that stores its answer. The process must end before
        it would be killed."""
        threads = []
        ended_after = []

        def wait_for_end():
            self.edge.process.wait(timeout=20)
            ended_after.append(time.monotonic() - began)
        began = time.monotonic()
        self.edge.process.send_signal(signal.SIGTERM)
        end = threading.Thread(target=wait_for_end)
        end.start()
        for at, call in sorted(calls, key=lambda pair: pair[0]):
            time.sleep(max(0, began + at - time.monotonic()))
            threads.append(threading.Thread(target=call))
            threads[-1].start()
        for thread in [*threads, end]:
            thread.join()
        self.assertLess(ended_after[0], GRACE_SECONDS)

    def ran(self):
        return {request for target in self.targets
                for request, _ in target.runs}

    def check(self):
        """All answers are whole, or promise that the request has not run."""
        cut = {i: answer for i, answer in self.answers.items()
               if answer not in (200, 503)}
        self.assertEqual(cut, {}, self.answers)
        ran = self.ran()
        for index, status in self.answers.items():
            self.assertEqual(f"id{index}" in ran, status == 200, index)

    def late_calls(self, seconds, **request):
        """Calls on connections that were open before the stop."""
        calls = []
        for at in seconds:
            connection = self.connect()

            def call(at=at, connection=connection):
                self.answers[at] = self.ask(connection, at, **request)
            calls.append((at, call))
        return calls

    # Requests that came late in the grace were cut without an answer (LOST).
    def test_requests_on_open_connections_of_a_stopping_router(self):
        self.assertEqual(
            self.ask(self.connect(), "first", run_seconds=5.2), 200)
        self.stop_among(self.late_calls(
            [i * GAP_SECONDS for i in range(CALLERS)], run_seconds=5.2))
        self.check()

    # Requests that take longer than earlier ones of their route were cut, as
    # what they may take was guessed from those (LOST).
    def test_requests_that_take_longer_than_earlier_ones(self):
        paths = ("/write/1", "/read/1", "/open/1")
        for i in range(20):
            for path in paths:
                self.ask(self.connect(), f"usual{path}{i}", path)
        calls = []
        for path in paths:
            def call(path=path, at=0.0, connection=None):
                name = f"{path}{at}"
                self.answers[name] = self.ask(connection, name, path, LONG_MS,
                                              3.5)
            for at in (3.0, 3.6, 4.6, 5.2, 5.8):
                calls.append((at, lambda call=call, at=at, c=self.connect():
                              call(at=at, connection=c)))
        self.stop_among(calls)
        self.check()
        # What surely ends is served.
        self.assertEqual({self.answers[f"{path}3.0"] for path in paths}, {200})

    # The first target refuses the request, so that it runs late (LOST).
    def test_requests_that_targets_shed_first(self):
        for i in range(20):
            self.ask(self.connect(), f"usual{i}")
        for target in self.targets[:CALLERS]:
            target.faults = ["shed"] * 4
        self.stop_among(self.late_calls((3.0, 3.6, 4.6, 5.2, 5.8),
                                        limit_ms=LONG_MS, run_seconds=3.3))
        self.check()

    # Streams that can't be resumed were taken in the first moment, whatever
    # their limit, and cut; those that surely end were refused later.
    def test_streams(self):
        for target in self.targets:
            target.event_gap = 0.3  # A stream takes three seconds.
        calls = self.late_calls((0.1, 0.2), path="/stream/once/1",
                                limit_ms="8000")
        calls += self.late_calls((2.0, 3.0, 3.6, 4.6, 5.2, 6.0),
                                 path="/stream/once/1", limit_ms=LONG_MS)
        calls += self.late_calls((0.15, 1.0), path="/stream/1",
                                 limit_ms="8000")
        self.stop_among(calls)
        self.check()
        self.assertEqual({self.answers[0.1], self.answers[0.2]}, {503})
        self.assertEqual((self.answers[0.15], self.answers[1.0]), (200, 503))
        self.assertEqual({self.answers[2.0], self.answers[3.0]}, {200})

    def send_slowly(self, name, seconds):
        """Sends a body in that many parts, one each second."""
        connection = socket.create_connection(
            ("127.0.0.1", self.edge.caller), timeout=20)
        connection.sendall(
            b"POST /write/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"Attempt-Id: id%s\r\nCredential: key-1\r\nDeadline-Ms: 1500\r\n"
            b"Content-Length: %d\r\n\r\n" % (name.encode(), 8 * seconds))
        try:
            for _ in range(seconds):
                time.sleep(1)
                connection.sendall(b"x" * 8)
        except OSError:
            pass  # The router has answered and closed.
        with connection, connection.makefile("rb") as stream:
            line = stream.readline().split()
        self.answers[name] = int(line[1]) if line else None

    # A body that still came at the end was cut off without a refusal, and the
    # end of an idle router came before that of a body (LOST).
    def test_bodies_that_still_come(self):
        self.stop_among(
            [(0.0, lambda: self.send_slowly("short", 3)),
             (0.2, lambda: self.send_slowly("endless", 30)),
             (4.8, lambda: self.send_slowly("late", 2))])
        self.check()
        self.assertEqual(self.answers["short"], 200)
        self.assertEqual(self.answers["endless"], 503)

    def ask_without_reading(self, size):
        """Asks for an answer of that size; returns the connection."""
        head = (b"HTTP/1.1 200 X\r\nRunner-Signature: s\r\nAttempt-Id: idslow"
                b"\r\nContent-Length: %d\r\n\r\n" % size)

        def serve(connection, start, headers, body):
            connection.sendall(head + b"x" * size)
            return True
        for target in self.targets:
            target.serve = serve
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(20)
        connection.connect(("127.0.0.1", self.edge.caller))
        connection.sendall(
            b"POST /long/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: "
            b"idslow\r\nCredential: key-1\r\nDeadline-Ms: 15000\r\n"
            b"Content-Length: 1\r\n\r\nx")
        return connection

    def metric(self, name):
        for line in get(self.edge.metrics, "/metrics")[1].decode().split("\n"):
            if line.startswith(f"papayaplank_{name} "):
                return float(line.split()[-1])
        raise AssertionError(f"no metric {name}")

    def hold_last_bytes(self):
        """A connection whose answer is complete while the router still holds
        the last bytes of it, as the caller reads nothing."""
        least, most = 1 << 16, 1 << 24
        while most - least > 1024:
            size = (least + most) // 2
            connection = self.ask_without_reading(size)
            time.sleep(0.4)
            if self.metric("open_requests"):
                most = size
            elif self.metric("held_unsent_answer_bytes"):
                return connection
            else:
                least = size
            connection.close()
            wait_for(lambda: not self.metric("open_requests"),
                     "the request ended")
        self.fail(f"no size up to {most} bytes leaves bytes at the router")

    # A router that had no open request ended while a slow caller was still
    # reading its answer (LOST).
    def test_answers_that_are_still_read(self):
        connection = self.hold_last_bytes()
        received = bytearray()

        def read():
            with connection:
                while part := connection.recv(1 << 18):
                    received.extend(part)
        self.stop_among([(7.0, read)])
        self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"), len(received))

    # A request that came before the signal and is still running at the end was
    # cut without an answer.
    def test_requests_that_came_before_the_signal(self):
        threads = []
        for path in ("/long/1", "/long/read/1"):
            def call(path=path):
                self.answers[path] = self.ask(
                    self.connect(), path, path, "15000", 12.0)
            threads.append(threading.Thread(target=call))
            threads[-1].start()
        time.sleep(0.5)
        self.stop_among([])
        for thread in threads:
            thread.join()
        self.assertEqual(self.answers, {"/long/1": 504, "/long/read/1": 504})


if __name__ == "__main__":
    unittest.main()

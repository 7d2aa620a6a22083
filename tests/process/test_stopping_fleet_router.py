"""Tests that a router of the product's own interface which is stopped answers
every request that it takes."""

import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import raw_targets as raw  # noqa: E402

BUILD = sys.argv.pop(1)
DRAIN_SECONDS = 3
LIMIT_SECONDS = 2  # After the drain time.
DEADLINE_MS = 4000


class StoppingFleetRouterTest(unittest.TestCase):
    def setUp(self):
        self.service, self.engine = raw.RawTarget(count=8), raw.RawTarget(
            count=8)
        self.ran = []
        self.service.serve = self.engine.serve = self.serve
        self.fleet = raw.RawFleet(
            BUILD, service=self.service, engine=self.engine,
            deadline_ms=DEADLINE_MS, router_flags=(
                f"--drain_seconds={DRAIN_SECONDS}",
                f"--stop_limit_seconds={LIMIT_SECONDS}"))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.router = self.fleet.routers[0]
        self.answers = {}

    def serve(self, connection, request):
        self.ran.append(request.headers["x-name"])
        time.sleep(float(request.headers["x-run-seconds"]))
        if request.path.startswith("/v1/"):
            connection.sendall(raw.stream_head(request) +
                               raw.chunk(raw.tokens(1, 3) + raw.END_MARK) +
                               raw.chunk(b""))
        else:
            connection.sendall(raw.answer(request, 200, b"whole"))
        return True

    def keep(self):
        """A connection that has carried a request."""
        connection = raw.send(self.router, "/desk/lookup", raw.prompt(),
                              X_Name="first", X_Run_Seconds="0")
        received = b""
        while not received.endswith(b"whole"):
            received += connection.recv(65536)
        return connection

    def ask(self, name, path, run_seconds, connection=None, **headers):
        """Asks on the connection, or on a new one."""
        headers = {"X_Name": name, "X_Run_Seconds": str(run_seconds),
                   **headers}
        if connection is None:
            connection = raw.send(self.router, path, raw.prompt(), **headers)
        else:
            body = raw.prompt()
            lines = "".join(f"{key.replace('_', '-')}: {value}\r\n"
                            for key, value in headers.items())
            key = raw.fleets.key_of(raw.CUSTOMERS[0])
            connection.sendall(
                f"POST {path} HTTP/1.1\r\nHost: router\r\nContent-Length: "
                f"{len(body)}\r\nAuthorization: Bearer {key}\r\n{lines}\r\n"
                .encode() + body)
        self.answers[name] = raw.receive(connection)

    def stop_among(self, calls):
        """Sends SIGTERM and makes `calls`: (second after it, name, path, run
        seconds, connection, headers)."""
        threads = []
        began = time.monotonic()
        self.router.process.send_signal(signal.SIGTERM)
        for at, name, path, run, connection, headers in calls:
            time.sleep(max(0, began + at - time.monotonic()))
            threads.append(threading.Thread(
                target=self.ask, args=(name, path, run, connection),
                kwargs=headers))
            threads[-1].start()
        for thread in threads:
            thread.join()
        self.router.process.wait(timeout=30)

    # Requests that came late in the stop, on connections that were open, were
    # cut without an answer (LOST).
    def test_late_requests_on_open_connections(self):
        calls = []
        for at in (0.2, 0.8, 1.5, 2.5, 3.5, 4.5):
            for kind, path, headers in (
                    ("plain", "/desk/capture", {}),
                    ("keyed", "/desk/capture", {"Idempotency_Key": f"k{at}"}),
                    ("stream", "/v1/chat/completions", {})):
                calls.append((at, f"{kind}-{at}", path, 3.5, self.keep(),
                              headers))
        self.stop_among(calls)
        statuses = {name: answer.status
                    for name, answer in self.answers.items()}
        for name, answer in self.answers.items():
            self.assertTrue(answer.is_whole, (name, statuses))
            self.assertIn(answer.status, (200, 503), (name, statuses))
            self.assertEqual(name in self.ran, answer.status == 200, name)
        for kind in ("plain", "keyed"):
            self.assertEqual(statuses[f"{kind}-0.2"], 200, statuses)
            # The deadline lies behind the end of the process.
            self.assertEqual(statuses[f"{kind}-1.5"], 503, statuses)

    # A request that still runs at the end of the stop was cut without an
    # answer.
    def test_a_request_that_runs_on_at_the_end(self):
        thread = threading.Thread(target=self.ask, args=(
            "running", "/desk/capture", 8.0))
        thread.start()
        time.sleep(0.5)
        self.stop_among([])
        thread.join()
        answer = self.answers["running"]
        self.assertEqual((answer.status, answer.ran, answer.is_whole),
                         (504, "unknown", True))


if __name__ == "__main__":
    unittest.main()

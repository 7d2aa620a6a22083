"""Tests that a router which is stopped answers every request that it takes."""

import http.client
import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

RUN_SECONDS = 5.2
CALLERS = 12
GAP_SECONDS = 0.4


class SlowTarget(standin.Target):
    """Takes a while for each request."""

    def serve(self, connection, start, headers, body):
        time.sleep(RUN_SECONDS)
        return super().serve(connection, start, headers, body)


class StoppingRouterTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [SlowTarget(self.store, f"t{i}", "s")
                        for i in range(2 * CALLERS)]
        self.edge = Edge(self.store, "e0")
        wait_for(self.edge.is_ready, "the router is ready")

    def tearDown(self):
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def ask(self, connection, number):
        try:
            connection.request("POST", "/write/1", b"x", {
                "Host": "shop.example", "Attempt-Id": f"id{number}",
                "Credential": "key-1", "Deadline-Ms": "6000"})
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return None

    # Requests that came late in the grace were cut without an answer (LOST).
    def test_requests_on_open_connections_of_a_stopping_router(self):
        connections = [http.client.HTTPConnection(
            "127.0.0.1", self.edge.caller, timeout=20)
            for _ in range(CALLERS)]
        for connection in connections:
            connection.connect()
        self.assertEqual(self.ask(connections[0], "first"), 200)
        answers = {}

        def call(index):
            time.sleep(index * GAP_SECONDS)
            answers[index] = self.ask(connections[index], index)

        threads = [threading.Thread(target=call, args=(i,))
                   for i in range(CALLERS)]
        self.edge.process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.edge.process.wait(timeout=20)
        cut = {i: answer for i, answer in answers.items()
               if answer not in (200, 503)}
        self.assertEqual(cut, {}, answers)
        # A refusal is a promise.
        ran = {request for target in self.targets
               for request, _ in target.runs}
        for index, status in answers.items():
            self.assertEqual(f"id{index}" in ran, status == 200, index)


if __name__ == "__main__":
    unittest.main()

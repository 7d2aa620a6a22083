"""Tests that a target which turns a request away and names a time gets no
requests from that router until then."""

import os
import random
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from caller_load import CallerLoad  # noqa: E402
from edge_process import Edge, configuration, get, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

# The users' bound: at most two requests from that router between this long
# after the refusal and the end of the time that it names.
REACTION_SECONDS = 0.5
ALLOWED_IN_PAUSE = 2
TARGETS = 8


class PausingTarget(standin.Target):
    """Turns away `share` of its requests and names `pause` (a text)."""

    def __init__(self, store, name):
        self.share = 0.0
        self.pause = "2"
        self.arrivals = []  # (time, request id).
        self.pauses = []    # (time, request id, text) of each refusal.
        self.random = random.Random(name)
        super().__init__(store, name, "s")

    def serve(self, connection, start, headers, body):
        request = headers["attempt-id"]
        self.arrivals.append((time.monotonic(), request))
        if self.random.random() >= self.share:
            return super().serve(connection, start, headers, body)
        pause = self.pause
        self.pauses.append((time.monotonic(), request, pause))
        connection.sendall(
            b"HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
            b"Retry-After: %s\r\nContent-Length: 0\r\n\r\n"
            % (request.encode(), pause.encode()))
        return True

    def most_in_a_pause(self, load):
        """The most requests in one pause from the router that was told."""
        arrivals = [(at, load.calls[request].edge)
                    for at, request in list(self.arrivals)]
        return max((sum(begin + REACTION_SECONDS < at < begin + float(pause)
                        and edge is load.calls[request].edge
                        for at, edge in arrivals)
                    for begin, request, pause in list(self.pauses)),
                   default=0)


class PausingTargetTest(unittest.TestCase):
    def start(self, routers, callers=12, gap=0.02):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [PausingTarget(self.store, f"t{i}")
                        for i in range(TARGETS)]
        self.edges = [Edge(self.store, f"e{i}") for i in range(routers)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        self.load = CallerLoad(self.edges, max(callers, 3 * routers), gap)
        self.addCleanup(self.stop)

    def stop(self):
        self.load.stop()
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def pause(self, targets, pause, share=0.5):
        for target in targets:
            target.pause = pause
            target.share = share

    def expect_kept(self, targets):
        for target in targets:
            self.assertTrue(target.pauses)
            self.assertLessEqual(target.most_in_a_pause(self.load),
                                 ALLOWED_IN_PAUSE, target.name)

    # Requests piled up at a target that had asked for a pause (BUDGET).
    def test_requests_to_a_target_that_asked_for_a_pause(self):
        for routers in (2, 8):
            with self.subTest(routers=routers):
                self.start(routers, callers=24, gap=0.005)
                time.sleep(1)
                pausing = self.targets[:2]
                self.pause(pausing[:1], "2")
                self.pause(pausing[1:], "3.5")
                time.sleep(10)
                self.expect_kept(pausing)
                served = self.load.answered(time.monotonic() - 5)
                good = sum(call.status == 200 for call in served)
                self.assertGreater(good, 0.95 * len(served))
                lines = [line for line in self.edges[0].lines
                         if line["event"] == "target_pausing"]
                self.assertTrue(lines)
                self.doCleanups()

    # The callers come back in time, and the targets get no herd.
    def test_all_targets_pause(self):
        self.start(2)
        time.sleep(0.5)
        self.pause(self.targets, "2", share=1.0)
        time.sleep(1)
        begin = time.monotonic()
        time.sleep(0.5)
        for call in self.load.answered(begin):
            self.assertEqual(call.status, 503)
            # At once, and not before a target takes requests again.
            self.assertLess(call.answered_at - call.sent_at, 1)
            self.assertGreater(float(call.headers["Retry-After"]), 0.2)
        self.pause(self.targets, "2", share=0.0)
        self.expect_kept(self.targets)
        time.sleep(2.5)
        begin = time.monotonic()
        time.sleep(1)
        served = self.load.answered(begin)
        self.assertTrue(served)
        self.assertEqual({call.status for call in served}, {200})

    # Times that can't be read, or that nobody can mean, are bounded.
    def test_odd_times(self):
        self.start(2)
        for pause in ("", "soon", "-3", "nan", "inf", "1e400", "0x10", "1,2",
                      "Fri, 31 Dec 1999 23:59:59 GMT", "9" * 400, "0", "0.0"):
            self.pause(self.targets[:1], pause, share=1.0)
            for edge in self.edges:
                self.assertIsNone(edge.process.poll())
            time.sleep(0.2)
        begin = time.monotonic()
        time.sleep(1)
        served = self.load.answered(begin)
        self.assertGreater(sum(call.status == 200 for call in served),
                           0.95 * len(served))
        metrics = get(self.edges[0].metrics, "/metrics")[1].decode()
        malformed = [line for line in metrics.splitlines() if line.startswith(
            "papayaplank_pauses_malformed_total")]
        self.assertGreater(float(malformed[0].split()[1]), 0)


if __name__ == "__main__":
    unittest.main()

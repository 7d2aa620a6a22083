"""Tests that a target which says in its answers that it leaves gets no more
requests, whatever its row in the store says."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from caller_load import CallerLoad  # noqa: E402
from edge_process import Edge, configuration, get, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

# The users' bound: later than this after a router has such an answer, no
# request that a caller sends to it reaches the target from it.
DRAIN_SECONDS = 2
TARGETS = 8


class LeavingTarget(standin.Target):
    """Says `leaving`, a text, in the header of all answers, unless None."""

    def __init__(self, store, name):
        self.leaving = None
        self.arrivals = []  # (time, request id).
        self.said = {}      # Request id -> when such an answer was sent.
        super().__init__(store, name, "s")

    def serve(self, connection, start, headers, body):
        self.arrivals.append((time.monotonic(), headers["attempt-id"]))
        return super().serve(connection, start, headers, body)

    def response_head(self, headers, status=200, extra=b""):
        if self.leaving is not None:
            extra += b"Server-Leaving: %s\r\n" % self.leaving.encode()
            self.said.setdefault(headers["attempt-id"], time.monotonic())
        return super().response_head(headers, status, extra)

    def late_arrivals(self, load):
        """Requests that were sent later than the bound."""
        told_at = {}  # By router.
        for request in self.said:
            call = load.calls[request]
            if call.answered_at:
                told_at[call.edge] = min(call.answered_at, told_at.get(
                    call.edge, float("inf")))
        late = []
        for _, request in list(self.arrivals):
            call = load.calls[request]
            bound = told_at.get(call.edge, float("inf")) + DRAIN_SECONDS
            if call.sent_at > bound:
                late.append(request)
        return late


class LeavingTargetTest(unittest.TestCase):
    def start(self, routers):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [LeavingTarget(self.store, f"t{i}")
                        for i in range(TARGETS)]
        self.edges = [Edge(self.store, f"e{i}") for i in range(routers)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        self.load = CallerLoad(self.edges, max(12, 3 * routers))
        self.addCleanup(self.stop)

    def stop(self):
        self.load.stop()
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def say(self, targets, leaving="1"):
        for target in targets:
            target.leaving = leaving

    def expect_no_late_arrival(self, targets):
        for target in targets:
            self.assertTrue(target.said, "it had requests when it left")
            self.assertEqual(target.late_arrivals(self.load), [], target.name)

    def lines(self, event):
        return [line for edge in self.edges for line in edge.lines
                if line["event"] == event]

    # Requests still reached a target that had said it was leaving (DRAIN).
    def test_requests_to_a_target_that_said_it_leaves(self):
        for routers in (2, 8):
            with self.subTest(routers=routers):
                self.start(routers)
                time.sleep(1)
                leaving = self.targets[:2]
                self.say(leaving)
                time.sleep(DRAIN_SECONDS + 4)
                self.expect_no_late_arrival(leaving)
                served = self.load.answered(time.monotonic() - 3)
                good = sum(call.status == 200 for call in served)
                self.assertGreater(good, 0.95 * len(served))
                self.assertTrue(self.lines("target_leaving"))
                metrics = get(self.edges[0].metrics, "/metrics")[1].decode()
                self.assertIn("papayaplank_targets_leaving 2\n", metrics)
                self.doCleanups()

    def test_the_store_is_away_and_routers_restart_meanwhile(self):
        self.start(3)
        time.sleep(1)
        leaving = self.targets[:2]
        self.store.fault = "busy"
        self.say(leaving)
        time.sleep(DRAIN_SECONDS + 1)
        self.expect_no_late_arrival(leaving)
        self.store.fault = None
        self.edges[0].process.kill()
        self.edges[0].restart(self.store)
        wait_for(self.edges[0].is_ready, "the router is ready")
        # The others tell it.
        time.sleep(2)
        begin = time.monotonic()
        time.sleep(2)
        for target in leaving:
            self.assertFalse([at for at, _ in target.arrivals if at > begin])

    def test_refusals_and_errors_say_it_too(self):
        self.start(2)
        time.sleep(0.5)
        leaving = self.targets[:2]
        for target in leaving:
            target.faults = ["error"] * 10000
        self.say(leaving)
        time.sleep(DRAIN_SECONDS + 2)
        self.expect_no_late_arrival(leaving)

    def test_a_new_process_of_the_same_name_is_used_again(self):
        self.start(2)
        time.sleep(0.5)
        leaving = self.targets[:2]
        self.say(leaving)
        time.sleep(1)
        self.say(leaving, None)
        # The row of the same process changes nothing.
        for target in leaving:
            target.row["seq"] += 1
            self.store.put("servers", target.name, target.row)
        time.sleep(2)
        begin = time.monotonic()
        time.sleep(1)
        for target in leaving:
            self.assertFalse([at for at, _ in target.arrivals if at > begin])
            target.row.update({"born": target.row["born"] + 1, "seq": 1})
            self.store.put("servers", target.name, target.row)
        begin = time.monotonic()
        wait_for(lambda: all(any(at > begin for at, _ in target.arrivals)
                             for target in leaving), "it gets requests")

    def test_other_values_keep_no_target_from_being_used(self):
        self.start(2)
        self.say(self.targets, "0")
        for value in ("", "no", "2", "-1", "1e9", "true", "x" * 2000):
            self.say(self.targets, value)
            time.sleep(0.3)
        begin = time.monotonic()
        time.sleep(1)
        for target in self.targets:
            self.assertTrue([at for at, _ in target.arrivals if at > begin])
        metrics = get(self.edges[0].metrics, "/metrics")[1].decode()
        malformed = [line for line in metrics.splitlines() if line.startswith(
            "papayaplank_leaving_malformed_total")]
        self.assertGreater(float(malformed[0].split()[1]), 0)


if __name__ == "__main__":
    unittest.main()

"""Tests that real routers together keep the limits that their targets name."""

import collections
import http.client
import itertools
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, get, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

# The users allow 1.5 times the limit and 5 requests in 4 s, from 3 s after it
# was first named.
CONTACT_SECONDS = 3
WINDOW_SECONDS = 4
ALLOWED_FACTOR = 1.5
ALLOWED_EXCESS = 5


class LimitingTarget(standin.Target):
    """Names `limit`, a text, in all its answers unless it is None."""

    def __init__(self, store, name):
        self.limit = None
        self.arrivals = []
        self.named = []  # (Attempt-Id, limit) of each answer that named one.
        super().__init__(store, name, "s")

    def serve(self, connection, start, headers, body):
        self.arrivals.append(time.monotonic())
        return super().serve(connection, start, headers, body)

    def response_head(self, headers, status=200, extra=b""):
        limit = self.limit  # Tests change it meanwhile.
        if limit is not None:
            extra += b"Server-Limit: %s\r\n" % limit.encode()
            self.named.append((headers["attempt-id"], limit))
        return super().response_head(headers, status, extra)

    def count(self, begin, end=float("inf")):
        return sum(begin < arrival <= end for arrival in self.arrivals)

    def worst_window(self, begin):
        return max((self.count(at - 1e-9, at + WINDOW_SECONDS)
                    for at in self.arrivals if at >= begin), default=0)


class TargetLimitTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [LimitingTarget(self.store, f"t{i}") for i in range(4)]
        self.edges = [Edge(self.store, f"e{i}") for i in range(3)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        self.requests = itertools.count()
        self.stops = threading.Event()
        self.answers = []  # (time, status, Retry-After) of each request.
        self.edge_of = {}  # The router that each Attempt-Id was sent to.
        self.relayed = []  # (router, Server-Limit) of each answer with one.
        self.load = [threading.Thread(target=self.send, args=(i,))
                     for i in range(9)]
        for thread in self.load:
            thread.start()

    def stop_load(self):
        self.stops.set()
        for thread in self.load:
            thread.join()

    def tearDown(self):
        self.stop_load()
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def send(self, index):
        while not self.stops.is_set():
            edge = self.edges[index % len(self.edges)]
            path = ("/read/1", "/write/1", "/stream/1")[index // 3]
            number = next(self.requests)
            headers = {"Host": "shop.example", "Attempt-Id": f"id{number}",
                       "Credential": "key-1", "Deadline-Ms": "6000"}
            self.edge_of[headers["Attempt-Id"]] = edge.name
            if path == "/stream/1":
                headers.update({"Token-Counts": "30,10",
                                "Prefix-Hash": f"a1:20,{number + 4096:x}:10"})
            connection = http.client.HTTPConnection("127.0.0.1", edge.caller,
                                                    timeout=20)
            try:
                connection.request("POST", path, b"x", headers)
                answer = connection.getresponse()
                answer.read()
                limit = answer.headers.get("Server-Limit")
                if limit is not None:
                    self.relayed.append((edge.name, limit))
                self.answers.append((time.monotonic(), answer.status,
                                     answer.headers.get("Retry-After")))
            except (OSError, http.client.HTTPException):
                self.answers.append((time.monotonic(), 0, None))
            finally:
                connection.close()
            time.sleep(0.05)

    def lines(self, event):
        return [line for edge in self.edges for line in edge.lines
                if line["event"] == event]

    def count_relayed(self, limit):
        """Answers with this limit that callers got, by router."""
        return collections.Counter(name for name, named in list(self.relayed)
                                   if named == limit)

    def count_sent(self, limit):
        """The same of those that targets sent, relayed or not."""
        return collections.Counter(
            self.edge_of[attempt] for target in self.targets
            for attempt, named in list(target.named) if named == limit)

    @staticmethod
    def malformed_limits(edge):
        metrics = get(edge.metrics, "/metrics")[1].decode()
        value, = [line.split()[1] for line in metrics.splitlines()
                  if line.startswith("papayaplank_limits_malformed_total")]
        return float(value)

    def set_limits(self, targets, limit):
        for target in targets:
            target.limit = limit
        return time.monotonic()

    def expect_kept(self, targets, since, limit):
        for target in targets:
            self.assertLessEqual(
                target.worst_window(since + CONTACT_SECONDS),
                ALLOWED_FACTOR * limit * WINDOW_SECONDS + ALLOWED_EXCESS,
                target.name)

    def test_targets_get_no_more_than_the_limit_that_they_name(self):
        time.sleep(1)
        limited = self.targets[:3]
        since = self.set_limits(limited, "3.0")
        time.sleep(CONTACT_SECONDS + 6)
        self.expect_kept(limited, since, 3)
        # What operators see.
        for edge in self.edges:
            seen = {line["target"] for line in edge.lines
                    if line["event"] == "target_limited"}
            self.assertEqual(seen, {target.name for target in limited})
        self.assertTrue(self.lines("limit_share"))
        metrics = get(self.edges[0].metrics, "/metrics")[1].decode()
        self.assertIn('papayaplank_target_limit_per_second{target="t0"} 3\n',
                      metrics)

    def test_limits_hold_while_routers_end_and_start(self):
        time.sleep(1)
        since = self.set_limits(self.targets, "4")
        for edge in self.edges:
            time.sleep(1.5)
            edge.process.kill()
            time.sleep(0.5)
            edge.restart(self.store)
            wait_for(edge.is_ready, "the router is ready")
        time.sleep(2)
        self.expect_kept(self.targets, since, 4)
        # All are used, and what they can't take is refused with a time.
        begin = time.monotonic()
        time.sleep(4)
        used = sum(target.count(begin) for target in self.targets)
        self.assertGreater(used, 0.7 * 4 * 4 * len(self.targets))
        refused = [answer for answer in self.answers
                   if answer[1] == 503 and answer[0] > begin]
        self.assertTrue(refused)
        self.assertTrue(all(float(answer[2]) > 0 for answer in refused))

    def test_a_limit_that_ends_or_cannot_be_read_holds_nothing_back(self):
        self.set_limits(self.targets, "2")
        time.sleep(3)
        self.set_limits(self.targets, "many")
        begin = time.monotonic()
        time.sleep(3)
        # The last limit that could be read holds.
        for target in self.targets:
            self.assertLessEqual(target.count(begin),
                                 ALLOWED_FACTOR * 2 * 3 + ALLOWED_EXCESS)
        # Each router counts those that it relays, at once. A router that owns
        # no target's permits may relay none: callers here return at once, and
        # the owners' callers come first.
        relayed = self.count_relayed("many")
        self.assertGreater(sum(relayed.values()), 0)
        for edge in self.edges:
            self.assertGreaterEqual(self.malformed_limits(edge),
                                    relayed[edge.name], edge.name)
        self.set_limits(self.targets, None)
        time.sleep(2)
        begin = time.monotonic()
        time.sleep(2)
        self.assertGreater(sum(target.count(begin) for target in self.targets),
                           2 * 2 * 2 * len(self.targets))
        self.assertTrue(self.lines("target_limit_ended"))
        # Each was counted once, and nothing else was.
        self.stop_load()
        relayed = self.count_relayed("many")
        sent = self.count_sent("many")
        for edge in self.edges:
            counted = self.malformed_limits(edge)
            self.assertGreaterEqual(counted, relayed[edge.name], edge.name)
            self.assertLessEqual(counted, sent[edge.name], edge.name)


if __name__ == "__main__":
    unittest.main()

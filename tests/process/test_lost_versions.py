"""Tests that routers miss neither a route nor a leaving target after the store
has come back from an older copy, and that a router that can't know the newest
configuration denies no route."""

import http.client
import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, route, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

ROUTERS = 3
# The users' bounds: from a change's acknowledgement on, and from the return of
# the store until its acknowledgements count as those of a stable one.
CONFIG_SECONDS = 2
DRAIN_SECONDS = 2
CONTACT_SECONDS = 3
LOST_VERSIONS = 60
# A watcher asks each 0.7 s, and every router may read lists each 0.7 s.
READS_PER_ROUTER = 50
PAUSE_SECONDS = 3  # Longer than a configuration may be unconfirmed.


class LostVersionsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.era = 1
        self.version = 1
        self.store.put("op", "config", configuration(1))
        self.targets = {f"t{i}": standin.Target(self.store, f"t{i}", "s")
                        for i in range(4)}
        self.edges = [Edge(self.store, f"e{i}") for i in range(ROUTERS)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        time.sleep(2)

    def tearDown(self):
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets.values()]:
            server.stop()

    @staticmethod
    def ask(edge, path, key="key-1"):
        connection = http.client.HTTPConnection("127.0.0.1", edge.caller,
                                                timeout=10)
        connection.request("GET", path, headers={
            "Host": "shop.example", "Credential": key,
            "Attempt-Id": f"id{time.monotonic_ns()}", "Deadline-Ms": "2000"})
        status = connection.getresponse().status
        connection.close()
        return status

    def add_route(self):
        """Returns the path of a new route, once the store has taken it."""
        self.version += 1
        path = f"/new{self.version}/"
        self.store.put("op", "config", configuration(
            self.version, extra=[route(path, "idempotent")]))
        return path + "1"

    def lose_versions(self, away=1.0):
        copy = self.store.copy()
        for i in range(LOST_VERSIONS):
            self.store.put("op", "other", i)
        time.sleep(1)
        self.store.go_away()
        time.sleep(away)
        self.store.come_back(copy)

    def check_new_routes(self):
        for _ in range(2):
            path = self.add_route()
            time.sleep(CONFIG_SECONDS)
            for edge in self.edges:
                self.assertEqual(self.ask(edge, path), 200, edge.name)

    # The watchers went on from a lost version, were shown nothing, and confirmed
    # the configuration before as the newest: 404 for an acknowledged route.
    def test_new_routes_if_the_store_refuses_lost_versions(self):
        self.lose_versions()
        time.sleep(CONTACT_SECONDS)
        self.check_new_routes()

    def test_new_routes_if_the_store_answers_lost_versions_at_once(self):
        self.store.lost_watch = "empty"
        self.lose_versions()
        time.sleep(CONTACT_SECONDS)
        self.check_new_routes()

    def test_new_routes_if_the_store_lets_lost_versions_wait(self):
        self.store.lost_watch = "waiting"
        self.lose_versions()
        time.sleep(CONTACT_SECONDS)
        self.check_new_routes()

    # Neither the era nor a lost connection tells that the versions fell.
    def test_new_routes_if_nothing_tells_of_the_return(self):
        self.store.era = None
        copy = self.store.copy()
        for i in range(LOST_VERSIONS):
            self.store.put("op", "other", i)
        time.sleep(1)
        with self.store.changed:
            self.store.rows, self.store.version = dict(copy[0]), copy[1]
        time.sleep(CONTACT_SECONDS)
        self.check_new_routes()
        told = {line["answer"] for edge in self.edges for line in edge.lines
                if line["event"] == "watch_lost"}
        self.assertEqual(told, {"lower_version"})

    # 453 calls a second of two watchers, for as long as it lasted.
    def test_watches_that_are_answered_at_once_are_few(self):
        self.store.ignores_wait = True
        began = time.monotonic()
        time.sleep(10)
        reads = sum(at > began for at in self.store.read_times)
        self.assertLess(reads, READS_PER_ROUTER * ROUTERS)
        self.check_new_routes()

    def watch_drains(self, names, drain):
        """Requests that reach the targets too late, while all routers work."""
        arrivals = {name: [] for name in names}
        for name in names:
            target = self.targets[name]

            def serve(connection, start, headers, body, name=name,
                      serve=target.serve):
                arrivals[name].append(time.monotonic())
                return serve(connection, start, headers, body)
            target.serve = serve
        is_over = threading.Event()

        def load(edge):
            while not is_over.wait(0.01):
                self.ask(edge, "/read/1")
        callers = [threading.Thread(target=load, args=(edge,))
                   for edge in self.edges]
        for caller in callers:
            caller.start()
        acknowledged = drain()
        time.sleep(DRAIN_SECONDS + 3)
        is_over.set()
        for caller in callers:
            caller.join()
        return {name: [round(at - acknowledged[name], 2)
                       for at in arrivals[name]
                       if at - acknowledged[name] > DRAIN_SECONDS]
                for name in names}

    def drain(self, *names):
        acknowledged = {}
        for name in names:
            self.targets[name].drain()
            acknowledged[name] = time.monotonic()
        return acknowledged

    # Lists with versions below the lost ones were dropped, so that targets got
    # requests for as long as nothing had passed these.
    def test_targets_that_drain_after_a_return(self):
        def drain():
            self.lose_versions()
            time.sleep(CONTACT_SECONDS)
            return self.drain("t0", "t1")
        late = self.watch_drains(("t0", "t1"), drain)
        self.assertEqual(late, {"t0": [], "t1": []})

    # The row of a target that drains was doubted as long as the store settled.
    def test_targets_that_drain_as_the_store_returns(self):
        def drain():
            self.lose_versions()
            return self.drain("t0", "t1")
        late = self.watch_drains(("t0", "t1"), drain)
        self.assertEqual(late, {"t0": [], "t1": []})

    def pause_all(self, change, path, key):
        """The answers to requests that wait at routers which are paused while
        the configuration changes."""
        for edge in self.edges:
            edge.process.send_signal(signal.SIGSTOP)
        change()
        time.sleep(PAUSE_SECONDS)
        answers = {}
        callers = [threading.Thread(
            target=lambda edge=edge: answers.update(
                {edge.name: self.ask(edge, path, key)}))
            for edge in self.edges]
        for caller in callers:
            caller.start()
        time.sleep(0.2)
        for edge in self.edges:
            edge.process.send_signal(signal.SIGCONT)
        for caller in callers:
            caller.join()
        return answers

    # A router that had been paused told its callers that there was no route.
    def test_a_paused_router_denies_no_route(self):
        answers = self.pause_all(self.add_route, "/new2/1", "key-1")
        for edge in self.edges:
            self.assertIn(answers[edge.name], (200, 503), edge.name)
        self.check_new_routes()

    # The same for keys.
    def test_a_paused_router_denies_no_key(self):
        answers = self.pause_all(
            lambda: self.store.put(
                "op", "config", configuration(2, ("key-0", "key-1"))),
            "/read/1", "key-0")
        for edge in self.edges:
            self.assertIn(answers[edge.name], (200, 503), edge.name)


if __name__ == "__main__":
    unittest.main()

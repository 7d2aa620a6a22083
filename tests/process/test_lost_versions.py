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
import urllib.parse

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


class StoreDoor(standin.Server):
    """An address of a store for one router, whose watches show nothing while
    `is_blind` is set."""

    def __init__(self, store):
        self.store = store
        self.is_blind = False
        super().__init__()

    def serve(self, connection, start, headers, body):
        if not (self.is_blind and start[1].startswith("/v1/rows-feed")):
            return self.store.serve(connection, start, headers, body)
        time.sleep(0.7)
        return self.store.answer(connection, 200,
                                 {"rows": [], "ver": self.store.version})


class LostVersionsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.era = 1
        self.version = 1
        self.store.put("op", "config", configuration(1))
        self.targets = {f"t{i}": standin.Target(self.store, f"t{i}", "s")
                        for i in range(4)}
        self.doors = [StoreDoor(self.store) for _ in range(ROUTERS)]
        self.edges = [Edge(door, f"e{i}")
                      for i, door in enumerate(self.doors)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        time.sleep(2)

    def tearDown(self):
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.doors, *self.targets.values()]:
            server.stop()

    @staticmethod
    def ask(edge, path, key="key-1"):
        """The status of a request whose id names the router."""
        connection = http.client.HTTPConnection("127.0.0.1", edge.caller,
                                                timeout=10)
        connection.request("GET", path, headers={
            "Host": "shop.example", "Credential": key,
            "Attempt-Id": f"{edge.name}-{time.monotonic_ns()}",
            "Deadline-Ms": "2000"})
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

    # In one go the operator and the targets wrote more than was lost: the watches
    # that were on their way began from a version that the store had again, were
    # shown nothing, and confirmed the configuration before.
    def test_new_routes_if_versions_pass_the_lost_ones_at_once(self):
        have_passed = threading.Event()
        serve = self.store.serve

        def serve_late(connection, start, headers, body):
            path, _, query = start[1].partition("?")
            if path == "/v1/rows-feed":
                after = int(urllib.parse.parse_qs(query)["after-rev"][0])
                if after > self.store.version:
                    have_passed.wait(1)
            return serve(connection, start, headers, body)
        self.store.serve = serve_late
        self.lose_versions()
        time.sleep(1)
        with self.store.changed:
            path = self.add_route()
            for i in range(LOST_VERSIONS):
                self.store.put("op", "other", i)
        have_passed.set()
        # Its acknowledgement is of a store that is not stable yet.
        time.sleep(CONTACT_SECONDS + CONFIG_SECONDS)
        for edge in self.edges:
            self.assertEqual(self.ask(edge, path), 200, edge.name)
        self.check_new_routes()

    # One of the two watchers is shown nothing, and the others tell it.
    def test_new_routes_if_a_watcher_is_shown_nothing(self):
        watchers = [
            i for i, edge in enumerate(self.edges)
            if [line for line in edge.lines
                if line["event"] == "load"][-1]["is_watcher"]]
        self.doors[watchers[0]].is_blind = True
        time.sleep(1)
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

    # 190,313 calls in ten seconds by two watchers.
    def test_watches_that_are_answered_at_once_are_few(self):
        self.store.ignores_wait = True
        began = time.monotonic()
        time.sleep(10)
        reads = sum(at > began for at in self.store.read_times)
        self.assertLess(reads, READS_PER_ROUTER * ROUTERS)
        self.check_new_routes()

    def watch_departures(self, names, depart):
        """Requests that reach the targets too late, while all routers work;
        `depart` returns when each departure was acknowledged."""
        arrivals = {name: [] for name in self.targets}
        for name, target in self.targets.items():
            def serve(connection, start, headers, body, name=name,
                      serve=target.serve):
                arrivals[name].append((time.monotonic(), headers["attempt-id"]))
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
        time.sleep(0.5)
        acknowledged = depart()
        time.sleep(DRAIN_SECONDS + 3)
        ended_at = time.monotonic()
        is_over.set()
        for caller in callers:
            caller.join()
        for name in names:
            self.assertTrue(any(at < acknowledged[name]
                                for at, _ in arrivals[name]), name)
        at_the_end = {request.split("-")[0]
                      for requests in arrivals.values()
                      for at, request in requests if at > ended_at - 1}
        self.assertEqual(at_the_end, {edge.name for edge in self.edges})
        return {name: [(round(at - acknowledged[name], 2), request)
                       for at, request in arrivals[name]
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
        late = self.watch_departures(("t0", "t1"), drain)
        self.assertEqual(late, {"t0": [], "t1": []})

    # The row of a target that drains was doubted as long as the store settled.
    def test_targets_that_drain_as_the_store_returns(self):
        def drain():
            self.lose_versions()
            return self.drain("t0", "t1")
        late = self.watch_departures(("t0", "t1"), drain)
        self.assertEqual(late, {"t0": [], "t1": []})

    # A router that starts in the return takes the copy for true, told the others
    # of a target that they knew to be gone, and they used it again.
    def test_departed_targets_if_a_router_starts_in_the_return(self):
        def depart():
            copy = self.store.copy()
            self.store.remove("servers", "t0")
            acknowledged = {"t0": time.monotonic()}
            time.sleep(DRAIN_SECONDS + 0.5)
            self.store.go_away()
            time.sleep(0.5)
            starter = Edge(self.store, "starter")
            self.addCleanup(starter.stop)
            time.sleep(0.5)
            self.store.come_back(copy)
            time.sleep(1.9)
            self.store.remove("servers", "t0")
            return acknowledged
        late = self.watch_departures(("t0",), depart)
        self.assertEqual(late, {"t0": []})

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

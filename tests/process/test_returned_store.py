"""Tests that routers whose store comes back from an older copy miss no change,
take nothing back, write their rows again and don't flood the store."""

import http.client
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

ROUTERS = 3
SETTLE_SECONDS = 4.5  # The two in which rows return, and the reads after them.
CHANGE_SECONDS = 5    # Until a change is in force.
# Lists and watches of a router in ten seconds: a watcher has a new one each 0.7
# s, every router may read lists each 0.7 s, and a few more at the return.
READS_PER_ROUTER = 50


class StoreReturnTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.era = 1
        self.store.put("op", "config", configuration(1))
        self.targets = {}
        for name in ("t0", "t1"):
            self.start_target(name)
        self.edges = [Edge(self.store, f"e{i}") for i in range(ROUTERS)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        time.sleep(3)

    def tearDown(self):
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets.values()]:
            server.stop()

    def start_target(self, name):
        self.targets[name] = standin.Target(self.store, name, "s")

    def ask(self, edge, key="key-1"):
        """The status, and the target that ran the request."""
        connection = http.client.HTTPConnection("127.0.0.1", edge.caller,
                                                timeout=10)
        number = f"id{time.monotonic_ns()}"
        connection.request("POST", "/write/1", b"x", {
            "Host": "shop.example", "Attempt-Id": number, "Credential": key,
            "Deadline-Ms": "2000"})
        status = connection.getresponse().status
        connection.close()
        ran = [name for name, target in self.targets.items()
               if number in {request for request, _ in target.runs}]
        return status, ran[0] if ran else None

    def used(self, edge, requests=12):
        """The targets that the router uses."""
        return {self.ask(edge)[1] for _ in range(requests)} - {None}

    def drill(self, copy, away=1.0, passed_versions=0):
        self.store.go_away()
        time.sleep(away)
        self.store.come_back(copy, passed_versions)

    def lines(self, edge, event):
        return [line for line in edge.lines if line["event"] == event]

    # The version of the new evacuation had been given out before, and it was
    # ignored (EVAC). With `passed_versions` there is no 410 that would tell.
    def check_evacuation(self, passed_versions, drills=1):
        self.start_target("t2")
        self.targets["t2"].row["zone"] = "east"
        self.store.put("servers", "t2", self.targets["t2"].row)
        copy = self.store.copy()
        for _ in range(5):
            self.store.put("op", "evacuate/west", {})
            time.sleep(0.2)
            self.store.remove("op", "evacuate/west")
        time.sleep(1)
        for _ in range(drills):
            self.drill(copy, passed_versions=passed_versions)
            time.sleep(1)
        self.store.put("op", "evacuate/west", {})
        time.sleep(CHANGE_SECONDS)
        for edge in self.edges:
            self.assertEqual(self.used(edge), {"t2"}, edge.name)
        self.store.remove("op", "evacuate/west")
        time.sleep(CHANGE_SECONDS)
        for edge in self.edges:
            self.assertEqual(self.used(edge), {"t0", "t1"}, edge.name)

    def test_an_evacuation_after_the_return_is_in_force(self):
        self.check_evacuation(0)

    def test_an_evacuation_after_versions_have_passed_the_lost_ones(self):
        self.check_evacuation(50)

    def test_an_evacuation_after_the_second_of_two_returns(self):
        self.check_evacuation(3, drills=2)

    # The watch went on from a lost version, and was refused in a loop:
    # 231,749 answers 410 in 12 s.
    def test_calls_after_the_return_are_few(self):
        copy = self.store.copy()
        for i in range(20):
            self.store.put("op", "other", i)
        time.sleep(1)
        self.drill(copy)
        returned_at = time.monotonic()
        time.sleep(10)
        reads = sum(at > returned_at for at in self.store.read_times)
        self.assertLess(reads, READS_PER_ROUTER * ROUTERS)

    # A store that keeps no history at all must not be listed in a loop.
    def test_calls_to_a_store_without_history_are_few(self):
        serve = self.store.serve

        def without_history(connection, start, headers, body):
            if start[1].startswith("/v1/rows-feed"):
                self.store.read_times.append(time.monotonic())
                return self.store.answer(connection, 410, {})
            return serve(connection, start, headers, body)
        self.store.serve = without_history
        began = time.monotonic()
        time.sleep(10)
        reads = sum(at > began for at in self.store.read_times)
        self.assertLess(reads, READS_PER_ROUTER * ROUTERS)

    # A target that joined after the return got no request.
    def test_targets_that_join_and_leave_after_the_return(self):
        copy = self.store.copy()
        self.start_target("lost")
        for i in range(20):
            self.store.put("op", "other", i)
        wait_for(lambda: all("lost" in self.used(e) for e in self.edges),
                 "the target is used")
        self.drill(copy)
        for edge in self.edges:
            self.assertIn("lost", self.used(edge, 30),
                          "its row returns within two seconds")
        # The targets write again.
        for name, target in self.targets.items():
            self.store.put("servers", name, target.row)
        self.start_target("late")
        self.targets["t0"].drain()
        time.sleep(CHANGE_SECONDS)
        for edge in self.edges:
            self.assertEqual(self.used(edge, 40), {"t1", "lost", "late"})

    # A target that had left was used again, as its row was in the copy.
    def test_targets_that_have_left_stay_out(self):
        copy = self.store.copy()
        self.store.remove("servers", "t0")
        wait_for(lambda: all("t0" not in self.used(e) for e in self.edges),
                 "the target is not used")
        self.drill(copy)
        until = time.monotonic() + 2
        while time.monotonic() < until:
            for edge in self.edges:
                self.assertNotIn("t0", self.used(edge, 4))
        self.store.remove("servers", "t0")
        time.sleep(SETTLE_SECONDS)
        for edge in self.edges:
            self.assertEqual(self.used(edge), {"t1"})

    # The rows of routers that had started in the lost seconds stayed lost.
    def test_rows_of_routers_are_there_again(self):
        copy = self.store.copy()
        rows = {name: row for name, row in copy[0].items()
                if name[0] != "routers"}
        self.drill((rows, copy[1]))
        time.sleep(SETTLE_SECONDS)
        present = {key for (table, key), (value, _) in self.store.rows.items()
                   if table == "routers" and value is not None}
        self.assertEqual(present, {edge.name for edge in self.edges})

    # The row of a router that had left came back with the copy, and stayed.
    def test_rows_of_routers_that_have_left_go_again(self):
        copy = self.store.copy()
        self.edges[2].process.terminate()
        self.edges[2].process.wait(timeout=20)
        self.drill(copy)
        time.sleep(SETTLE_SECONDS)
        present = {key for (table, key), (value, _) in self.store.rows.items()
                   if table == "routers" and value is not None}
        self.assertEqual(present, {"e0", "e1"})

    # A configuration that the copy still shows must not confirm a key that was
    # revoked in the lost seconds.
    def test_a_revoked_key_stays_revoked(self):
        self.store.put("op", "config", configuration(2, ("key-1", "key-2")))
        time.sleep(1)
        copy = self.store.copy()
        self.store.put("op", "config", configuration(3, ("key-1",)))
        wait_for(lambda: all(self.ask(e, "key-2")[0] == 401
                             for e in self.edges), "the key is revoked")
        self.drill(copy)
        # The operator has not written it again yet.
        time.sleep(1.5)
        self.edges[0].restart(self.store)
        wait_for(lambda: self.lines(self.edges[0], "configuration_in_force"),
                 "the router has a configuration")
        self.store.put("op", "config", configuration(3, ("key-1",)))
        until = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < until:
            for edge in self.edges[1:]:
                self.assertIn(self.ask(edge, "key-2")[0], (401, 503))
        for edge in self.edges:
            self.assertEqual(self.ask(edge, "key-2")[0], 401)
            self.assertEqual(self.ask(edge)[0], 200)

    def test_a_change_of_era_is_told(self):
        self.drill(self.store.copy())
        time.sleep(SETTLE_SECONDS)
        for edge in self.edges:
            line, = self.lines(edge, "store_era_changed")
            self.assertEqual((line["era_before"], line["era"], line["kind"]),
                             (1, 2, "next"))
            self.assertEqual(self.lines(edge, "load")[-1]["store_era"], 2)


if __name__ == "__main__":
    unittest.main()

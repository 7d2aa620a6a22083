"""Tests that rows of other writers take no router down, and hide no target."""

import http.client
import itertools
import json
import os
import random
import re
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import odd_rows  # noqa: E402
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, get, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

DRAIN_SECONDS = 2    # The users' drain-ms.
CONTACT_SECONDS = 3  # Their contact-ms: until a new target is used.
MEMORY_LIMIT_MB = 256
LONGEST_LINE = 4096
CHANGE_SECONDS = 20
SEED = 20261205


class Router(Edge):
    """Notes the lines of its log that are not JSON, or too long."""

    def read_log(self, stream, lines):
        self.bad_lines = []
        for line in stream:
            try:
                lines.append(json.loads(line))
                if len(line) > LONGEST_LINE:
                    self.bad_lines.append(line[:200])
            except ValueError:
                self.bad_lines.append(line[:200])

    def metric(self, name):
        text = get(self.metrics, "/metrics")[1].decode()
        return float(re.search(rf"^papayaplank_{name} (\S+)", text,
                               re.MULTILINE).group(1))

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            return int(re.search(r"VmHWM:\s+(\d+)", status.read()).group(1)
                       ) / 1024


class CountingTarget(standin.Target):
    def __init__(self, store, name):
        self.arrivals = []
        super().__init__(store, name, "s")

    def serve(self, connection, start, headers, body):
        self.arrivals.append(time.monotonic())
        return super().serve(connection, start, headers, body)


class OddRowsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.numbers = itertools.count()
        self.requests = itertools.count()
        self.targets = []
        for _ in range(4):
            self.add_target()
        self.edges = [Router(self.store, f"e{i}") for i in range(3)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        for edge in self.edges:
            wait_for(lambda e=edge: e.metric("routers_live") == 3,
                     "the routers see each other")
        self.statuses = []
        self.stops = threading.Event()
        self.load = [threading.Thread(target=self.send, args=(edge,))
                     for edge in self.edges]
        for thread in self.load:
            thread.start()

    def tearDown(self):
        self.stop_load()
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def stop_load(self):
        self.stops.set()
        for thread in self.load:
            thread.join()

    def add_target(self):
        # Names between those of odd rows.
        name = f"m{next(self.numbers)}"
        self.targets.append(CountingTarget(self.store, name))
        return self.targets[-1]

    def send(self, edge):
        while not self.stops.is_set():
            self.statuses.append(self.ask(edge))
            time.sleep(0.01)

    def ask(self, edge):
        """Like the users' callers, tries another router if one refuses the
        connection: its gate closes while the machine is busy."""
        first = self.edges.index(edge)
        for router in self.edges[first:] + self.edges[:first]:
            connection = http.client.HTTPConnection("127.0.0.1", router.caller,
                                                    timeout=20)
            try:
                connection.connect()
                connection.request("POST", "/read/1", b"x", {
                    "Host": "shop.example", "Credential": "key-1",
                    "Attempt-Id": f"id{next(self.requests)}",
                    "Deadline-Ms": "6000"})
                answer = connection.getresponse()
                answer.read()
                return answer.status
            except ConnectionRefusedError as error:
                status = repr(error)
            except (OSError, http.client.HTTPException) as error:
                return repr(error)
            finally:
                connection.close()
        return status

    def put_all(self, table, values, prefix="odd"):
        for number, value in enumerate(values):
            # Before and after the names of the targets.
            letter = "az"[number % 2]
            self.store.put(table, f"{letter}{prefix}{number}", value)

    def check_that_a_new_target_is_used(self):
        target = self.add_target()
        began = time.monotonic()
        wait_for(lambda: target.arrivals, "the new target is used")
        self.assertLess(target.arrivals[0] - began, CONTACT_SECONDS)
        return target

    def check_that_a_draining_target_is_left(self, target):
        target.drain()
        bound = time.monotonic() + DRAIN_SECONDS
        time.sleep(DRAIN_SECONDS + 1)
        self.assertEqual([at for at in target.arrivals if at > bound], [])

    def check_following(self):
        target = self.check_that_a_new_target_is_used()
        self.check_that_a_draining_target_is_left(target)
        self.store.remove("servers", target.name)

    def check_routers(self, targets=None):
        self.stop_load()
        for edge in self.edges:
            self.assertIsNone(edge.process.poll(), "the router runs")
            self.assertEqual(edge.bad_lines, [])
            self.assertLess(edge.memory_mb(), MEMORY_LIMIT_MB)
            if targets is not None:
                self.assertEqual(edge.metric("targets"), targets)
        self.assertEqual({s for s in self.statuses if s != 200}, set())
        self.assertGreater(len(self.statuses), 100)

    def test_odd_values_name_no_target(self):
        values = list(odd_rows.target_values())
        self.assertGreater(len(values), 100)
        self.put_all("servers", values)
        self.check_following()
        wait_for(lambda: all(edge.metric("targets") == 4
                             for edge in self.edges),
                 "the routers know of the targets alone")
        self.check_routers(targets=4)

    def test_odd_rows_that_change_hide_no_target(self):
        picks = random.Random(SEED)
        values = {"servers": list(odd_rows.target_values()),
                  "routers": list(odd_rows.router_values()),
                  "quarantine": list(odd_rows.quarantine_values())}
        for table, all_values in values.items():
            self.put_all(table, all_values * 2)
        until = time.monotonic() + CHANGE_SECONDS

        def change():
            while time.monotonic() < until:
                table = picks.choice(list(values))
                key = f"{picks.choice('az')}odd{picks.randrange(300)}"
                if picks.random() < 0.3:
                    self.store.remove(table, key)
                else:
                    self.store.put(table, key, picks.choice(values[table]))
                time.sleep(0.02)

        changes = threading.Thread(target=change)
        changes.start()
        try:
            while time.monotonic() < until:
                self.check_following()
        finally:
            until = 0
            changes.join()
        self.check_routers()
        for edge in self.edges:
            self.assertLess(len(edge.lines), 3000)

    def test_stored_evidence_of_other_writers_ends_no_router(self):
        # Watchers read the table once, after their start.
        self.stop_load()
        self.put_all("quarantine", odd_rows.quarantine_values())
        for edge in self.edges:
            edge.restart(self.store)
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        time.sleep(CONTACT_SECONDS)
        for edge in self.edges:
            self.assertIsNone(edge.process.poll(), "the router runs")
        self.assertTrue(any(line["event"] == "quarantine_row_malformed"
                            for edge in self.edges for line in edge.lines))

    def put_keys(self, keys):
        for key in keys:
            for table in ("servers", "routers", "quarantine"):
                self.store.put(table, key, odd_rows.target_row(address=""))

    def test_odd_keys_at_page_ends_hide_no_target(self):
        self.store.page_rows = 1
        self.put_keys(odd_rows.odd_keys())
        self.check_following()
        self.check_routers()

    def test_keys_that_are_no_text_hide_no_target(self):
        # A page of nothing else can't be read past.
        self.store.page_rows = 3
        self.put_keys([*odd_rows.odd_keys(), *odd_rows.KEYS_WITHOUT_TEXT])
        self.check_following()
        self.check_routers()

    def test_a_cut_page_without_rows_removes_no_target(self):
        tables = self.store.empty_page_tables
        tables.update(("servers", "routers", "quarantine"))
        time.sleep(CONTACT_SECONDS)
        self.check_routers(targets=4)
        tables.clear()
        for edge in self.edges:
            wait_for(lambda e=edge: e.metric("targets") == 4,
                     "the router knows its targets")

    def test_a_router_list_that_fails_delays_no_target_list(self):
        self.store.empty_page_tables.add("routers")
        # The list of routers is read every 8 s at least.
        time.sleep(10)
        self.check_following()
        self.check_routers()

    def test_a_rejected_row_of_its_own_delays_no_target_list(self):
        self.store.rejects_writes = True
        router = Router(self.store, "late")
        self.edges.append(router)
        wait_for(router.is_ready, "the router is ready")
        time.sleep(1)
        target = self.add_target()
        try:
            # Its peers don't know it, so nobody tells it of the target.
            wait_for(lambda: router.metric("targets") == 5,
                     "the router knows of the new target")
        finally:
            self.store.rejects_writes = False
        self.store.remove("servers", target.name)

    def test_rows_of_routers_that_are_gone_delay_no_target_list(self):
        # Nothing listens at these addresses.
        for number in range(300):
            self.store.put("routers", f"gone{number}", json.dumps(
                {"peer_address": f"127.0.0.1:{number + 1}",
                 "data_center": "west", "cores": 1}))
        # The list of routers is read every 8 s at least.
        until = time.monotonic() + 12
        while time.monotonic() < until:
            self.check_following()
        self.check_routers()

    def test_odd_configurations_change_nothing(self):
        for text in ("", "[]", odd_rows.nested(200000), "[" * 60000,
                     '{"version":1e999}', '{"version":18446744073709551616}',
                     '{"version":9223372036854775808}', '{"version":-5}',
                     json.dumps(configuration("2")),
                     json.dumps(configuration(2, extra=[{"name": "x" * 60000,
                                                         "host": "h",
                                                         "prefix": "/"}])),
                     standin.EncodedValue("not base64!")):
            self.store.put("op", "config", text)
            time.sleep(0.4)
        self.store.put("op", "config", configuration(3))
        for edge in self.edges:
            wait_for(lambda e=edge: e.metric("configuration_version") == 3,
                     "the next configuration is in force")
        self.check_routers(targets=4)

    def test_odd_datagrams_end_no_router(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for edge in self.edges:
                for head in (b"\x81", b"\x9f", b"\xa1\x60", b"\x7f", b"\x5f",
                             b"\xc1", b"\x86\x18\x20" + b"\x81"):
                    sender.sendto(head * (65000 // len(head)),
                                  ("127.0.0.1", edge.peer))
                    time.sleep(0.05)
        time.sleep(1)
        self.check_routers(targets=4)


if __name__ == "__main__":
    unittest.main()

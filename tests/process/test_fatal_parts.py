"""Tests that real routers hold back a prompt part that ends their targets."""

import http.client
import itertools
import json
import os
import socket
import struct
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, get, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

FATAL_PART = "dead51"
# The users allow three requests later than this after the fifth crash.
CONTACT_SECONDS = 3
ALLOWED_AFTER_BOUND = 3


class FragileTarget(standin.Target):
    """Ends when it begins to answer a prompt with the fatal part, if
    `is_fragile`; else it breaks off such an answer and goes on."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.is_down = False
        super().__init__(fleet.store, name, "s")
        self.event_gap = 0.02

    def run(self, connection):
        # Without shutdown of the listener, `accept` would take one more.
        if self.is_down:
            connection.close()
            return
        super().run(connection)

    def serve(self, connection, start, headers, body):
        if (FATAL_PART in headers.get("prefix-hash", "") and
                headers.get("expect-runner") == self.name):
            self.fleet.fatal_runs.append(time.monotonic())
            connection.sendall(self.response_head(headers) + b"\r\n")
            time.sleep(0.04)
            if self.fleet.is_fragile:
                self.crash()
            self.reset(connection)
            return False
        return super().serve(connection, start, headers, body)

    @staticmethod
    def reset(connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))

    def crash(self):
        if self.is_down:
            return
        self.is_down = True
        self.fleet.crashes.append(time.monotonic())
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                self.reset(connection)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It was closed already.
        threading.Thread(target=self.replace, daemon=True).start()

    def replace(self):
        time.sleep(1)
        self.fleet.store.remove("servers", self.name)
        self.fleet.add_target()


class FatalPartTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.is_fragile = True
        self.fatal_runs, self.crashes, self.targets = [], [], []
        self.names = itertools.count()
        self.requests = itertools.count()
        for _ in range(6):
            self.add_target()
        self.edges = [Edge(self.store, f"e{i}") for i in range(3)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        self.stops = threading.Event()
        self.sound = []  # Whether each sound request got its whole answer.
        self.load = [threading.Thread(target=self.send_sound, args=(i,))
                     for i in range(3)]
        for thread in self.load:
            thread.start()

    def tearDown(self):
        self.stops.set()
        for thread in self.load:
            thread.join()
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def add_target(self):
        self.targets.append(FragileTarget(self, f"t{next(self.names)}"))

    def ask(self, edge, parts):
        """Returns status, whether the stream is whole, id and headers."""
        number = next(self.requests)
        connection = http.client.HTTPConnection("127.0.0.1", edge.caller,
                                                timeout=20)
        try:
            connection.request("POST", "/stream/1", b"x", {
                "Host": "shop.example", "Attempt-Id": f"id{number}",
                "Credential": "key-1", "Deadline-Ms": "6000",
                "Token-Counts": "30,10",
                "Prefix-Hash": ",".join(
                    f"{part}:10" for part in [*parts, f"{number + 4096:x}"])})
            answer = connection.getresponse()
            return (answer.status, answer.read().count(b"id: ") == 10,
                    f"id{number}", answer.headers)
        except (OSError, http.client.HTTPException):
            return 0, False, f"id{number}", {}
        finally:
            connection.close()

    def send_sound(self, index):
        while not self.stops.is_set():
            edge = self.edges[index % len(self.edges)]
            status, is_whole, _, _ = self.ask(edge, ["a1", f"b{index}"])
            self.sound.append(status == 200 and is_whole)
            time.sleep(0.02)

    def send_fatal(self, count, gap=0.3):
        return [(time.sleep(gap),
                 self.ask(self.edges[i % len(self.edges)], ["a1", FATAL_PART]))
                [1] for i in range(count)]

    def lines(self, event):
        return [line for edge in self.edges for line in edge.lines
                if line["event"] == event]

    def test_the_part_is_held_back_and_others_are_served(self):
        self.send_fatal(40)
        if len(self.crashes) >= 5:
            late = [run for run in self.fatal_runs
                    if run > self.crashes[4] + CONTACT_SECONDS]
            self.assertLessEqual(len(late), ALLOWED_AFTER_BOUND)
        runs = len(self.fatal_runs)
        del self.sound[:]
        answers = self.send_fatal(6, 0.1)
        self.assertEqual({answer[0] for answer in answers}, {503})
        self.assertEqual(len(self.fatal_runs), runs)
        self.assertGreater(float(answers[0][3]["Retry-After"]), 1)
        self.assertGreater(sum(self.sound), len(self.sound) / 2)
        # What operators see.
        self.assertTrue(all(
            any(line["event"] == "part_quarantined" and
                line["part"] == FATAL_PART for line in edge.lines)
            for edge in self.edges))
        self.assertTrue(any(FATAL_PART in line["starting_parts"].split(",")
                            for line in self.lines("target_crashed")))
        refused = next(line for line in self.lines("request_refused")
                       if line["outcome"] == "quarantined_part")
        self.assertEqual(refused["quarantined_part"], FATAL_PART)
        metrics = get(self.edges[0].metrics, "/metrics")[1].decode()
        self.assertIn("papayaplank_parts_quarantined 1\n", metrics)

    def test_the_verdict_survives_the_end_of_all_routers(self):
        self.send_fatal(25)
        self.assertTrue(self.lines("part_quarantined"))
        wait_for(lambda: any(table == "quarantine" and value is not None
                             for (table, _), (value, _)
                             in self.store.rows.items()),
                 "the verdict is in the store")
        for edge in self.edges:
            edge.process.kill()
        for edge in self.edges:
            edge.restart(self.store)
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        time.sleep(CONTACT_SECONDS)
        runs = len(self.fatal_runs)
        self.send_fatal(9)
        self.assertEqual(len(self.fatal_runs), runs)

    def test_answers_that_break_off_condemn_no_part(self):
        self.is_fragile = False
        self.send_fatal(30)
        self.assertFalse(self.lines("part_quarantined"))
        self.assertFalse(self.lines("target_crashed"))


if __name__ == "__main__":
    unittest.main()

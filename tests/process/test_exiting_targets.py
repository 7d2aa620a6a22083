"""Tests of targets that exit as soon as they have sent their last answer, which
has neither a length nor chunks: planned exits don't cut it, crashes do."""

import http.client
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402
from killable_target import EVENTS, KillableTarget  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

REPORT_SECONDS = 1.2
DRAIN_SECONDS = 1.6
KILL_AT = 7  # Event after which targets are killed.
# Seconds from one event to the next. A stream outlasts the drain time and the time
# until the router reads the row; its first four events don't outlast the former.
EVENT_GAP = 0.35
# The platform removes the row of a target that has missed three reports.
LAPSE_SECONDS = 3 * REPORT_SECONDS
# After a start, and after an outage of the store, a router waits so long until it
# takes a missing row for a removed one.
ROWS_RETURN_SECONDS = 2.5


class ExitingTargetsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.addCleanup(self.store.stop)
        self.target = KillableTarget(self.store, "t0")
        self.addCleanup(self.target.stop)
        self.edge = Edge(self.store, "e0", flags=(
            f"--target_report_ms={1000 * REPORT_SECONDS}",
            f"--target_drain_ms={1000 * DRAIN_SECONDS}"))
        self.addCleanup(self.edge.stop)
        wait_for(self.edge.is_ready, "the router is ready")
        time.sleep(ROWS_RETURN_SECONDS)
        self.answers = []

    def ask(self, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=20)
        connection.request("POST", path, b"x", {
            "Host": "shop.example", "Attempt-Id": "id1",
            "Credential": "key-1", "Deadline-Ms": "8000"})
        try:
            answer = connection.getresponse()
            self.answers.append((answer.status, answer.read(), True))
        except http.client.IncompleteRead as error:
            self.answers.append((answer.status, error.partial, False))
        finally:
            connection.close()

    def start(self, path, event_gap=EVENT_GAP, **plan):
        """Starts a request, and returns when it runs."""
        self.target.restart(unframed=True, event_gap=event_gap, **plan)
        self.caller = threading.Thread(target=self.ask, args=(path,))
        self.caller.start()
        wait_for(lambda: self.target.runs, "the request runs")
        self.ends_at = time.monotonic() + EVENTS * event_gap  # If it is whole.

    def drain(self):
        self.target.drain()
        self.wait_until_left()

    def remove(self):
        self.target.remove()
        self.wait_until_left()

    def wait_until_left(self):
        wait_for(lambda: any(line["event"] == "target_left"
                             for line in self.edge.lines),
                 "the router knows that the target leaves")

    def remove_at_exit(self, after=0.0):
        self.target.process.wait()
        time.sleep(after)
        self.target.remove()

    def check_stream(self, events, is_complete):
        self.caller.join()
        status, body, was_complete = self.answers[0]
        numbers = [int(line[4:]) for line in body.decode().splitlines()
                   if line.startswith("id: ")]
        self.assertEqual((status, numbers, was_complete),
                         (200, list(range(1, events + 1)), is_complete))

    # The last stream of a target that left as planned was cut (LOST).
    def test_the_last_stream_of_a_target_that_drains(self):
        self.start("/stream/once/1", exits=True)
        self.drain()
        self.remove_at_exit()
        self.check_stream(EVENTS, True)

    def test_the_last_plain_answer_of_a_target_that_drains(self):
        self.start("/write/1", event_gap=4 * EVENT_GAP, exits=True)
        self.drain()
        self.remove_at_exit()
        self.caller.join()
        self.assertEqual(self.answers, [(200, b"answer to id1", True)])

    def test_the_row_is_removed_before_the_drain_time(self):
        self.start("/stream/once/1", exits=True)
        self.remove()
        self.check_stream(EVENTS, True)

    def test_the_store_answers_late(self):
        self.start("/stream/once/1", exits=True)
        self.drain()
        # A longer outage would make all missing rows doubtful.
        time.sleep(max(0, self.ends_at - time.monotonic() - EVENT_GAP))
        self.store.fault = "busy"
        self.target.process.wait()
        self.target.remove()
        time.sleep(REPORT_SECONDS / 3)
        self.store.fault = None
        self.check_stream(EVENTS, True)

    # Crashes.

    def test_a_target_that_drains_is_killed(self):
        self.start("/stream/once/1", kill_at=KILL_AT)
        self.drain()
        self.check_stream(KILL_AT, False)

    def test_the_row_of_a_killed_target_expires(self):
        self.start("/stream/once/1", kill_at=KILL_AT)
        self.drain()
        self.remove_at_exit(after=LAPSE_SECONDS - REPORT_SECONDS)
        self.check_stream(KILL_AT, False)

    def test_a_killed_target_is_started_again(self):
        self.start("/stream/once/1", kill_at=KILL_AT)
        self.drain()
        self.target.process.wait()
        self.target.row = {**self.target.row, "state": "ready", "born": 2,
                           "seq": 1}
        self.store.put("servers", self.target.name, self.target.row)
        self.check_stream(KILL_AT, False)

    def test_a_target_whose_row_was_removed_lately_is_killed(self):
        self.start("/stream/once/1", kill_at=4)
        self.remove()
        self.check_stream(4, False)

    def test_a_plain_answer_of_a_killed_target(self):
        self.start("/write/1", event_gap=4 * EVENT_GAP, kill_at=1)
        self.drain()
        self.caller.join()
        self.assertEqual(self.answers[0][:2], (502, b""))

    def test_a_target_is_killed_while_the_store_is_away(self):
        self.start("/stream/once/1", kill_at=KILL_AT)
        self.drain()
        self.store.fault = "busy"
        self.check_stream(KILL_AT, False)


if __name__ == "__main__":
    unittest.main()

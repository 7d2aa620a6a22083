"""Tests of the single faults that test_stream_order draws at random: how a run
of a stream ends, what the next target sends, which refusals are true.
"""

import os
import signal
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import stream_callers  # noqa: E402
from edge_process import Edge, wait_for  # noqa: E402
from stream_fleet import Fleet  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

TRIES = 3  # Runs of each case.
CUT = {"cut": [3, 0.5, "fin"]}


class StreamRunsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(seed=1, seconds=0, routers=1)
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.fleet.__enter__()
        cls.streams = 0

    def ask(self, *plans, kind="/stream/", last=0, events="10",
            before_reading=lambda: None):
        """Asks once on a new connection; the last event so far is `last`."""
        type(self).streams += 1
        stream = stream_callers.Stream(f"{kind}{self.streams}-{events}",
                                       [*plans, {}])
        stream.last = last
        caller = stream_callers.Caller("c", 1, self.choose_router, None,
                                       lambda: False)
        self.assertTrue(caller.connect())
        caller.exchange(stream, f"id{self.streams}", None, before_reading)
        caller.disconnect()
        stream.check_runs(self.fleet.targets.runs(stream))
        return stream

    def choose_router(self, generator, other):
        for target in self.fleet.targets.targets:
            wait_for(target.is_listening, "the targets listen")
        edge = self.fleet.edges[0]
        wait_for(edge.is_ready, "the router is ready")
        return edge.caller

    def assert_kept(self, *plans, **arguments):
        for number in range(TRIES):
            with self.subTest(plans=plans, number=number, **arguments):
                stream = self.ask(*plans, **arguments)
                self.assertEqual(stream.violations, [])
                self.assertNotEqual(self.fleet.targets.runs(stream), [])

    def assert_whole(self, *plans, **arguments):
        for number in range(TRIES):
            with self.subTest(plans=plans, number=number, **arguments):
                stream = self.ask(*plans, **arguments)
                self.assertEqual(stream.violations, [])
                self.assertTrue(stream.is_whole, f"ends after {stream.last}")

    def test_a_broken_stream_is_resumed(self):
        for framing in ("chunked", "closed"):
            for part in (0, 0.01, 0.5, 0.99):
                for how in ("fin", "reset", "ragged"):
                    if framing == "closed" and part == 0 and how != "reset":
                        continue  # Complete by the protocol.
                    self.assert_whole(
                        {"framing": framing, "cut": [3, part, how], "ms": 20})

    def test_an_error_after_events_does_not_complete_the_stream(self):
        for status in (400, 404, 409, 422, 429, 500, 503, 204):
            self.assert_kept(CUT, {"status": status})

    def test_a_refusal_after_events_does_not_complete_the_stream(self):
        for status in (429, 503):
            self.assert_kept(CUT, {"status": status, "refuses": 1})

    def test_a_text_after_events_is_not_passed_on(self):
        for text in ("plain", "block", "head"):
            self.assert_kept(CUT, {"text": text})

    def test_a_text_is_not_passed_on_to_a_caller_that_resumes(self):
        for text in ("plain", "block", "head"):
            self.assert_kept({"text": text}, last=4)

    def test_a_target_that_starts_elsewhere_continues_no_stream(self):
        for first in ("one", "few", "skip", "back"):
            self.assert_kept(CUT, {"first": first})

    def test_a_target_that_starts_elsewhere_continues_no_callers_stream(self):
        for first in ("one", "few", "skip", "back"):
            self.assert_kept({"first": first}, last=4)

    def test_a_skipped_or_repeated_event_is_not_passed_on(self):
        self.assert_kept({"hole": 3})
        self.assert_kept({"again": 3})

    def test_a_skipped_event_is_not_passed_on_to_a_caller_that_resumes(self):
        self.assert_kept({"hole": 0}, last=4)

    def test_mixed_line_ends_end_an_event(self):
        for seed in range(5):
            self.assert_whole({"line_end": "mixed", "seed": seed})
            self.assert_whole({"line_end": "mixed", "seed": seed, **CUT})

    def test_a_crash_between_events_does_not_complete_a_stream(self):
        for kind in ("/stream/", "/stream/once/"):
            self.assert_kept({"framing": "closed", "cut": [3, 0, "crash"]},
                             kind=kind)

    def test_a_crash_during_a_pause_does_not_complete_a_stream(self):
        plan = {"framing": "closed", "cut": [3, 0, "crash"], "ms": 1000}
        for _ in range(TRIES):
            edge = self.fleet.edges[0]
            wait_for(lambda: self.ask().is_whole, "streams are whole")
            streams = []
            asking = threading.Thread(
                target=lambda: streams.append(self.ask(plan)))
            next_stream = stream_callers.Stream(
                f"/stream/{self.streams + 1}-10", [])
            ends = self.ends()
            asking.start()
            wait_for(lambda: self.fleet.targets.runs(next_stream),
                     "the stream begins")
            edge.process.send_signal(signal.SIGSTOP)
            try:
                wait_for(lambda: self.ends() > ends, "the target crashes")
                for target in self.fleet.targets.targets:
                    wait_for(target.is_listening, "the target is back")
            finally:
                edge.process.send_signal(signal.SIGCONT)
            asking.join()
            self.assertEqual(streams[0].violations, [])

    def test_a_crash_behind_a_slow_caller_does_not_complete_a_stream(self):
        # More than the router holds for the caller, so it reads no further.
        plan = {"framing": "closed", "cut": [390, 0, "crash"]}
        for _ in range(TRIES):
            ends = self.ends()

            def wait():
                wait_for(lambda: self.ends() > ends, "the target crashes")
                for target in self.fleet.targets.targets:
                    wait_for(target.is_listening, "the target is back")
            stream = self.ask(plan, events="400L", before_reading=wait)
            self.assertEqual(stream.violations, [])

    def ends(self):
        return sum(len(target.ends) for target in self.fleet.targets.targets)

    def test_a_crash_does_not_complete_an_answer_without_framing(self):
        for kind in ("/read/", "/write/"):
            self.assert_kept({"framing": "closed", "cut": [0, 0.5, "crash"]},
                             kind=kind)

    def test_a_refusal_that_is_written_once_more_is_not_believed(self):
        for stale in ("id", "bare"):
            for kind in ("/write/", "/stream/once/"):
                for _ in range(5):
                    self.ask(*[{"status": 503, "refuses": 1}] * 4, kind=kind)
                    self.assert_kept({"stale": stale}, kind=kind)

    def test_an_error_that_ran_is_no_promise(self):
        for kind in ("/write/", "/stream/once/", "/read/", "/stream/"):
            for status in (408, 429, 503):
                self.assert_kept({"status": status}, kind=kind)


if __name__ == "__main__":
    unittest.main()

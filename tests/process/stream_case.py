"""Base of tests that ask for one stream at a time."""

import unittest

import stream_callers
from edge_process import wait_for
from stream_fleet import Fleet

TRIES = 3  # Runs of each case.


class StreamCase(unittest.TestCase):
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

    def ends(self):
        return sum(len(target.ends) for target in self.fleet.targets.targets)

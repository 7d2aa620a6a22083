"""Tests of answers that wait in the router for a slow caller."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from edge_process import Edge, wait_for  # noqa: E402
from stream_case import TRIES, StreamCase  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")


class SlowCallersTest(StreamCase):
    def test_a_whole_stream_behind_a_slow_caller_is_whole(self):
        for framing in ("closed", "chunked"):
            self.assert_whole({"framing": framing}, events="400L",
                              before_reading=lambda: time.sleep(1))

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


if __name__ == "__main__":
    unittest.main()

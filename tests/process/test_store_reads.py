"""Tests how often a router reads the platform's store."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

# A lone router reads the list of targets after at most one and a half times its
# mean period of 0.7 s; the rest is slack for a busy machine.
LONGEST_GAP_SECONDS = 1.05 + 0.35
# In this time it reads the list of routers three times.
TEST_SECONDS = 26


class StoreReadsTest(unittest.TestCase):
    def test_the_router_list_delays_no_target_list(self):
        store = standin.Store()
        store.put("op", "config", configuration(1))
        target = standin.Target(store, "t0", "s")
        edge = Edge(store, "e0")
        try:
            wait_for(edge.is_ready, "the router is ready")
            time.sleep(TEST_SECONDS)
            self.assertGreaterEqual(len(store.list_times["routers"]), 3)
            times = store.list_times["servers"]
            gaps = [later - earlier
                    for earlier, later in zip(times, times[1:])]
            self.assertLessEqual(max(gaps), LONGEST_GAP_SECONDS)
        finally:
            edge.stop()
            target.stop()
            store.stop()


if __name__ == "__main__":
    unittest.main()

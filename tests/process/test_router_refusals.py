"""Tests that papayaplank_router calls no request "not run" that ran or runs,
and runs none twice, whatever refusals targets repeat."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import raw_targets as raw  # noqa: E402

NOT_RUN = "X-Papayaplank-Ran: no\r\n"


def refuse(request, status=503, has_id=True):
    return raw.answer(request, status, b"", NOT_RUN, has_id)


class RefusalTest(unittest.TestCase):
    def start(self, **options):
        self.target = raw.RawTarget(count=options.pop("targets", 1))
        self.ran = []
        self.fleet = raw.RawFleet(BUILD, service=self.target, **options)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def ask(self, path, **headers):
        return raw.ask(self.fleet.routers[0], path, b"{}", **headers)

    def run_request(self, connection, request, has_id=True, seconds=0.0):
        """Runs a request; its answer names its path."""
        self.ran.append(request.id)
        time.sleep(seconds)
        connection.sendall(raw.answer(request, 200, request.path.encode(),
                                      has_id=has_id))

    def check(self, answer, path):
        """Checks an answer against what the target did."""
        if answer.status == 200:
            self.assertTrue(answer.is_whole, answer)
            self.assertEqual(answer.body, path.encode())
        if answer.headers["x-request-id"] in self.ran:
            self.assertNotEqual(answer.ran, "no", answer)
        if "/capture" in path:
            self.assertLessEqual(self.ran.count(answer.headers["x-request-id"]),
                                 1)

    def test_lost_run_before_a_refusal_is_not_called_not_run(self):
        self.start(targets=4)

        def serve(connection, request):
            if self.target.attempts(request) == 1:
                self.ran.append(request.id)
                return False
            connection.sendall(refuse(request))
            return True
        self.target.serve = serve
        answer = self.ask("/desk/lookup")
        self.assertEqual(answer.status, 502)
        self.check(answer, "/desk/lookup")
        self.assertEqual(answer.ran, "unknown")

    def test_lost_run_before_the_deadline_is_not_called_not_run(self):
        self.start(deadline_ms=1500)

        def serve(_, request):
            self.ran.append(request.id)
            # No target is left for a further attempt.
            raw.fleets.call(self.fleet.platform, "POST", "/admin/instances",
                            self.fleet.instances(leaving=("service-0",)))
            time.sleep(1)
            return False
        self.target.serve = serve
        answer = self.ask("/desk/lookup")
        self.assertEqual(answer.status, 504)
        self.check(answer, "/desk/lookup")

if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()

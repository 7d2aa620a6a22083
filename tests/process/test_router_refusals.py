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

    def test_repeated_refusals_are_never_believed(self):
        self.start(targets=20)
        for has_id in (True, False):
            for moment in ("early", "at once", "late"):
                for path in ("/desk/lookup", "/desk/capture"):
                    with self.subTest(has_id=has_id, moment=moment, path=path):
                        self.repeat_refusals(has_id, moment, path)

    def repeat_refusals(self, has_id, moment, path):
        """Each connection refuses its first request and runs the next ones, and
        repeats its refusal at the given moment."""
        refusals = {}

        def serve(connection, request):
            old = refusals.get(connection)
            if old is None:
                old = refusals[connection] = refuse(request, 503, has_id)
                connection.sendall(old)
                if moment == "early":
                    connection.sendall(old)
                return True
            if moment == "late":
                time.sleep(0.1)
            connection.sendall(old)
            self.run_request(connection, request, has_id, 0.1)
            return True
        self.target.serve = serve
        for i in range(8):
            own_path = f"{path}/{has_id}/{moment.replace(' ', '-')}/{i}"
            self.check(self.ask(own_path), own_path)

    def test_answers_without_an_id_reach_no_other_request(self):
        self.start(targets=1)
        # An answer that was not asked for precedes the next one.
        for moment in ("early", "at once"):
            def serve(connection, request, moment=moment):
                stray = raw.answer(request, 200, b"stray", has_id=False)
                if moment == "at once" and self.target.attempts(request) > 1:
                    connection.sendall(stray)
                self.run_request(connection, request, has_id=False)
                if moment == "early":
                    connection.sendall(stray)
                return True
            self.target.serve = serve
            for i in range(6):
                path = f"/desk/lookup/{i}"
                with self.subTest(moment=moment, path=path):
                    self.check(self.ask(path), path)

    def test_refusal_of_an_interim_answer_is_not_believed(self):
        self.start(targets=4)

        def serve(connection, request):
            self.ran.append(request.id)
            connection.sendall(b"HTTP/1.1 103 Early\r\n" + NOT_RUN.encode()
                               + b"\r\n" + raw.answer(request, 503, b"failed"))
            return True
        self.target.serve = serve
        answer = self.ask("/desk/capture")
        self.check(answer, "/desk/capture")
        self.assertEqual((answer.status, answer.body), (503, b"failed"))

    def test_request_that_must_run_once_is_not_sent_again_by_the_client(self):
        self.start(targets=4)

        def serve(connection, request):
            self.ran.append(request.id)
            if len(self.ran) % 2 == 0:
                return False  # On a kept connection a client would resend.
            connection.sendall(raw.answer(request, 200, request.path.encode()))
            return True
        self.target.serve = serve
        for _ in range(10):
            self.check(self.ask("/desk/capture"), "/desk/capture")
        self.assertEqual(len(self.ran), 10)
        self.assertEqual(self.target.connections, 10)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()

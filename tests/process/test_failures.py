"""Tests of router processes while faults are injected around them."""

import hashlib
import http.client
import json
import os
import signal
import socket
import sys
import threading
import time
import unittest

SCRIPTS = os.path.dirname(os.path.abspath(__file__)) + "/../../scripts"
sys.path.insert(0, SCRIPTS)
import fleet as fleets  # noqa: E402


def prompt(tokens=20, stream=True, tag=""):
    return json.dumps({"model": "model-a", "stream": stream,
                       "max_tokens": tokens, "messages": [tag]})


class FailureTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleets.Fleet(BUILD, routers=3, engines=2, services=1,
                                  data_centers=("west",), token_gap_us=5000,
                                  router_flags=["--progress_timeout_ms=1000"])
        self.fleet.start()
        self.fleet.submit(fleets.demo_change({"guild": 1}), base=0)

    def tearDown(self):
        self.fleet.stop()

    def ask(self, path, body="", router=0, method="POST", timeout=30,
            **headers):
        """Sends one request; a header X_Name is sent as X-Name."""
        headers = {name.replace("_", "-"): value
                   for name, value in headers.items()}
        headers["Authorization"] = "Bearer " + fleets.key_of("guild")
        return fleets.call(self.fleet.routers[router].caller, method, path,
                           body, headers, timeout)

    def inject_engine_faults(self, **fault):
        for engine in self.fleet.engines:
            self.fleet.inject_fault(engine, **fault)

    def runs(self):
        """Number of runs at the service by X-Run-Key."""
        return json.loads(fleets.call(self.fleet.services[0], "GET",
                                      "/admin/runs")[2])

    def assert_complete(self, status, headers, body):
        self.assertEqual(status, 200)
        self.assertEqual(headers["X-Answer-Sha256"],
                         hashlib.sha256(body).hexdigest())

    def test_cut_stream_resumes_without_loss_or_repetition(self):
        self.fleet.inject_fault(self.fleet.engines[0], cut_after_bytes=700,
                                count=1)
        self.fleet.inject_fault(self.fleet.engines[1], cut_after_bytes=700,
                                count=1)
        for tag in "abc":  # So that each engine gets a request.
            self.assert_complete(*self.ask("/v1/chat/completions",
                                           prompt(40, tag=tag)))

    def test_silent_stream_resumes_elsewhere(self):
        self.fleet.inject_fault(self.fleet.engines[0], silent_after_bytes=500,
                                count=1)
        self.fleet.inject_fault(self.fleet.engines[1], silent_after_bytes=500,
                                count=1)
        for tag in "ab":
            self.assert_complete(*self.ask("/v1/chat/completions",
                                           prompt(tag=tag)))

    def test_crossed_and_truncated_answers_are_never_relayed(self):
        self.inject_engine_faults(crossed=True, count=1)
        self.assert_complete(*self.ask("/v1/chat/completions", prompt()))
        self.inject_engine_faults(cut_after_bytes=30, count=1)
        self.assert_complete(*self.ask("/v1/chat/completions",
                                       prompt(stream=False)))

    def test_answer_cut_at_every_attempt_is_seen_as_incomplete(self):
        self.inject_engine_faults(cut_after_bytes=300)
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            self.ask("/v1/chat/completions", prompt())

    def test_refused_request_is_retried_elsewhere(self):
        self.fleet.inject_fault(self.fleet.engines[0], refuse=True)
        for tag in "abcd":
            self.assert_complete(*self.ask("/v1/chat/completions",
                                           prompt(tag=tag)))

    def test_lost_answer_of_a_capture_is_unknown_and_ran_once(self):
        self.fleet.inject_fault(self.fleet.services[0], swallow=True, count=1)
        status, headers, body = self.ask("/desk/capture", "{}",
                                         X_Run_Key="lost")
        self.assertEqual((status, headers["X-Papayaplank-Ran"]),
                         (502, "unknown"))
        self.assertEqual(json.loads(body)["error"]["type"], "target_failed")
        time.sleep(1)
        self.assertEqual(self.runs(), {"lost": 1})

    def test_idempotency_key_runs_once_over_two_routers(self):
        answers = []

        def capture(router):
            answers.append(self.ask("/desk/capture", "{}", router=router,
                                    X_Run_Key="twice",
                                    Idempotency_Key="order-7"))
        threads = [threading.Thread(target=capture, args=(i % 3,))
                   for i in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.runs(), {"twice": 1})
        time.sleep(0.5)
        status, headers, body = self.ask("/desk/capture", "{}", router=2,
                                         Idempotency_Key="order-7")
        self.assertEqual(status, 200)
        self.assertEqual(headers["X-Papayaplank-Repeated"], "true")
        self.assertEqual(json.loads(body)["runs"], 1)
        self.assertEqual(self.runs(), {"twice": 1})

    def test_lost_store_answers_do_not_run_a_capture_twice(self):
        self.fleet.inject_fault(self.fleet.platform, swallow=True, count=3)
        status, _, _ = self.ask("/desk/capture", "{}", X_Run_Key="lost-claim",
                                Idempotency_Key="order-8")
        again, _, _ = self.ask("/desk/capture", "{}", router=1,
                               X_Run_Key="lost-claim",
                               Idempotency_Key="order-8")
        self.assertIn(status, (200, 503))
        self.assertIn(again, (200, 409))
        self.assertLessEqual(self.runs().get("lost-claim", 0), 1)

    def test_store_down_refuses_keyed_captures_as_not_run(self):
        self.fleet.inject_fault(self.fleet.platform, down=True)
        status, headers, _ = self.ask("/desk/capture", "{}", X_Run_Key="down",
                                      Idempotency_Key="order-9")
        self.assertEqual((status, headers["X-Papayaplank-Ran"]), (503, "no"))
        self.assertNotIn("down", self.runs())
        # Requests without an idempotency key don't need the table service.
        self.assert_complete(*self.ask("/v1/chat/completions", prompt()))

    def test_caller_that_goes_away_cancels_its_stream(self):
        connection = http.client.HTTPConnection(self.fleet.routers[0].caller)
        connection.request("POST", "/v1/chat/completions", prompt(5000), {
            "Authorization": "Bearer " + fleets.key_of("guild")})
        answer = connection.getresponse()
        answer.read(100)
        connection.sock.close()
        answer.close()
        connection.close()

        def active():
            return sum(json.loads(fleets.call(each, "GET", "/admin/counts")[2])
                       ["active"] for each in self.fleet.engines)
        fleets.wait_until(lambda: active() == 0, 10, "the stream is cancelled")

    def test_slow_reader_blocks_no_other_caller(self):
        slow = socket.create_connection(
            self.fleet.routers[0].caller.split(":"))
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        body = prompt(3000)
        slow.sendall((f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                      f"Authorization: Bearer {fleets.key_of('guild')}\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        for tag in "abc":
            self.assert_complete(*self.ask("/v1/chat/completions",
                                           prompt(tag=tag)))
        slow.close()

    def test_racing_submits_give_one_conflict(self):
        path = os.path.join(self.fleet.directory, "race.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"format": 1, "customers": [
                {"name": "guild", "template": "workshop",
                 "parameters": {"weight": 2},
                 "key_hashes": [fleets.key_hash("guild")]}]}, file)
        codes = []
        threads = [threading.Thread(target=lambda r=router: codes.append(
            self.fleet.ctl("submit", f"--file={path}", "--base=1",
                           check=False, router=r).returncode))
            for router in self.fleet.routers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(codes), [0, 3, 3])

    def test_repeated_submission_gives_the_same_version(self):
        path = os.path.join(self.fleet.directory, "again.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"format": 1, "customers": []}, file)
        arguments = ["submit", f"--file={path}", "--base=1",
                     "--operation_id=op-1"]
        # The table service carries out the writes, but its answers are lost.
        self.fleet.inject_fault(self.fleet.platform, swallow=True, count=6)
        self.fleet.ctl(*arguments, check=False)
        fleets.wait_until(lambda: self.fleet.ctl(
            *arguments, check=False).returncode == 0, 10, "accepted")
        result = self.fleet.ctl("show", "version")
        self.assertEqual(json.loads(result.stdout)["version"], 2)

    def test_restart_with_the_store_down_applies_a_peers_configuration(self):
        self.fleet.inject_fault(self.fleet.platform, down=True)
        router = self.fleet.routers[2]
        router.process.kill()
        router.process.wait()
        self.fleet.start_router(router)
        fleets.wait_until(
            lambda: self.fleet.ctl("show", "version", check=False,
                                   router=router).stdout.find(
                                       '"version": 1') >= 0,
            15, "the configuration of a peer is in force")
        status = self.fleet.status(self.fleet.routers[0])
        time.sleep(2)
        status = self.fleet.status(self.fleet.routers[0])
        self.assertGreater(status["configuration_unconfirmed_seconds"], 1)

    def test_paused_router_blocks_no_request(self):
        self.fleet.routers[1].process.send_signal(signal.SIGSTOP)
        time.sleep(3)
        for tag in "abcd":
            self.assert_complete(*self.ask("/v1/chat/completions",
                                           prompt(tag=tag), timeout=10))
        self.fleet.routers[1].process.send_signal(signal.SIGCONT)
        fleets.wait_until(
            lambda: len(self.fleet.status(self.fleet.routers[0])["members"])
            == 3, 30, "the resumed router is a member again")


class RollingRestartTest(unittest.TestCase):
    def test_rolling_restart_under_load_fails_no_request(self):
        fleet = fleets.Fleet(BUILD, routers=3, engines=2,
                             data_centers=("west",), token_gap_us=5000,
                             router_flags=["--address_lifetime_seconds=1",
                                           "--drain_seconds=2"])
        try:
            fleet.start()
            fleet.submit(fleets.demo_change({"guild": 1}), base=0)
            plan = {"routers": [each.caller for each in fleet.routers],
                    "seconds": 60, "parts": [
                        {"customer": "guild", "key": fleets.key_of("guild"),
                         "class": "report", "path": "/v1/chat/completions",
                         "body": prompt(60, tag="@"), "streams": 12,
                         "requests": 500, "idempotent": False},
                        {"customer": "guild", "key": fleets.key_of("guild"),
                         "class": "capture", "path": "/desk/capture",
                         "body": "{}", "streams": 2, "requests": 2000}]}
            path = os.path.join(fleet.directory, "plan.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(plan, file)
            results = []
            load = threading.Thread(target=lambda: results.append(
                fleet.ctl("load", f"--plan={path}", "--output=json")))
            load.start()
            for router in fleet.routers:
                time.sleep(1)
                router.process.send_signal(signal.SIGTERM)
                self.assertEqual(router.process.wait(timeout=60), 0)
                fleet.start_router(router)
                fleets.wait_until(lambda r=router: fleet.responds(
                    r.caller, "/readyz"), 15, "the router is back")
            load.join()
            for part in json.loads(results[0].stdout)["parts"]:
                self.assertEqual((part["failed"], part["wrong"]), (0, 0), part)
                self.assertGreater(part["good"], 0)
        finally:
            fleet.stop()


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()

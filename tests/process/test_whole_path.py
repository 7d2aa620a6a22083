"""End-to-end tests over real processes: answers, refusals, operator port."""

import json
import os
import sys
import unittest

SCRIPTS = os.path.dirname(os.path.abspath(__file__)) + "/../../scripts"
sys.path.insert(0, SCRIPTS)
import fleet as fleets  # noqa: E402


class EndToEndTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleets.Fleet(BUILD, routers=3, engines=2)
        cls.fleet.start()
        cls.fleet.submit(fleets.demo_change({"guild": 4, "shop": 1}), base=0)

    @classmethod
    def tearDownClass(cls):
        codes = cls.fleet.stop()
        assert codes == [0, 0, 0], codes

    def ask(self, path, body="", customer="guild", method="POST", **headers):
        headers["Authorization"] = "Bearer " + fleets.key_of(customer)
        return fleets.call(self.fleet.routers[0].caller, method, path, body,
                           headers)

    def test_streamed_answer_is_complete(self):
        body = json.dumps({"model": "model-a", "stream": True,
                           "max_tokens": 20, "messages": []})
        status, headers, answer = self.ask("/v1/chat/completions", body)
        self.assertEqual(status, 200)
        self.assertIn("X-Request-Id", headers)
        self.assertEqual(headers["X-Answer-Sha256"],
                         __import__("hashlib").sha256(answer).hexdigest())
        self.assertTrue(answer.endswith(b"data: [DONE]\n\n"))

    def test_unknown_key_gets_401_and_did_not_run(self):
        status, headers, body = fleets.call(
            self.fleet.routers[0].caller, "POST", "/v1/chat/completions", "{}",
            {"Authorization": "Bearer nobody"})
        self.assertEqual(status, 401)
        self.assertEqual(headers["X-Papayaplank-Ran"], "no")
        self.assertEqual(json.loads(body)["error"]["ran"], "no")

    def test_bad_requests_get_typed_reasons(self):
        status, _, body = self.ask("/nowhere", "{}")
        self.assertEqual((status, json.loads(body)["error"]["type"]),
                         (404, "no_class"))
        status, _, body = self.ask("/v1/chat/completions", "{")
        self.assertEqual((status, json.loads(body)["error"]["type"]),
                         (400, "bad_request"))
        status, _, body = self.ask("/v1/chat/completions",
                                   '{"model":"model-z"}')
        self.assertEqual((status, json.loads(body)["error"]["type"]),
                         (503, "no_target"))

    def test_body_over_the_limit_gets_413(self):
        status, _, body = self.ask("/desk/capture", "x" * (5 << 20))
        self.assertEqual((status, json.loads(body)["error"]["ran"]),
                         (413, "no"))

    def test_addresses_name_routers_of_the_callers_data_centre(self):
        status, _, body = self.ask("/v1/addresses?data_center=east",
                                   method="GET")
        answer = json.loads(body)
        self.assertEqual(status, 200)
        self.assertEqual(answer["addresses"][0], self.fleet.routers[1].caller)
        self.assertGreater(answer["keep_seconds"], 0)

    def test_operator_port_needs_a_key(self):
        status, _, _ = fleets.call(self.fleet.routers[0].operator, "POST",
                                   "/rpc", "{}")
        self.assertEqual(status, 401)
        result = self.fleet.ctl("status", "--operator_key=wrong-key-of-nobody",
                                check=False)
        self.assertEqual(result.returncode, 4)

    def test_bad_documents_are_refused_with_every_error(self):
        path = os.path.join(self.fleet.directory, "bad.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"format": 1, "templates": [
                {"name": "x", "weight": -1, "classes": []}]}, file)
        result = self.fleet.ctl("check", f"--file={path}", check=False)
        self.assertEqual(result.returncode, 2)
        self.assertIn("/templates/0/weight", result.stderr)
        self.assertIn("/templates/0/classes", result.stderr)

    def test_explain_and_metrics(self):
        result = self.fleet.ctl("explain", "--customer=guild",
                                "--path=/desk/capture", "--output=json")
        answer = json.loads(result.stdout)
        self.assertEqual((answer["class"], answer["pool"]),
                         ("capture", "desk"))
        self.ask("/desk/lookup", method="GET")
        # The caller may have its answer just before the request is counted.
        fleets.wait_until(
            lambda: self.fleet.metrics(self.fleet.routers[0])
            ["papayaplank_requests_completed_total"] > 0, 5, "it is counted")
        values = self.fleet.metrics(self.fleet.routers[0])
        self.assertEqual(values["papayaplank_configuration_version"], 1)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()

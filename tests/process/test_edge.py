"""Tests of papayaplank_edge as a process, between stand-ins."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import (Edge, configuration, get, route,  # noqa: E402
                          wait_for, WAIT_SECONDS)

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")


class EdgeTest(unittest.TestCase):
    request_count = 0
    edge_count = 1

    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [standin.Target(self.store, f"t{i}", "s")
                        for i in range(2)]
        self.edges = [Edge(self.store, f"e{i}")
                      for i in range(self.edge_count)]
        self.edge = self.edges[0]
        for edge in self.edges:
            wait_for(edge.is_ready, "the router is ready")
        wait_for(lambda: all(self.joined_targets(edge) == 2
                             for edge in self.edges),
                 "both targets have joined")

    def tearDown(self):
        for edge in self.edges:
            edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def joined_targets(self, edge):
        return sum(line["event"] == "target_joined" for line in edge.lines)

    def headers(self, key="key-1", wait_ms=6000):
        EdgeTest.request_count += 1
        return {"Host": "shop.example",
                "Attempt-Id": f"id{EdgeTest.request_count}",
                "Credential": key, "Deadline-Ms": str(wait_ms)}

    def connect(self, edge=None):
        port = (edge or self.edge).caller
        return http.client.HTTPConnection("127.0.0.1", port, timeout=20)

    def ask(self, path, method="POST", body=b"hello", connection=None,
            **headers):
        """Returns status, request id, body and answer of one request."""
        owns_connection = connection is None
        connection = connection or self.connect()
        sent = self.headers(**headers)
        connection.request(method, path, body, sent)
        answer = connection.getresponse()
        text = answer.read()
        if owns_connection:
            connection.close()
        return answer.status, sent["Attempt-Id"], text, answer

    def runs(self):
        return [run for target in self.targets for run in target.runs]

    def inject_faults(self, *faults):
        for target in self.targets:
            target.faults = list(faults)

    # Answers of targets.

    def test_the_answer_of_the_target_is_relayed(self):
        status, request, body, answer = self.ask("/write/1")
        self.assertEqual((status, body),
                         (200, b"answer to " + request.encode()))
        self.assertEqual(answer.headers["Attempt-Id"], request)
        self.assertEqual(answer.headers["Runner-Signature"], "s")
        received = [h for t in self.targets for h in t.received][0]
        self.assertEqual(received["tenant"], "guild")
        self.assertNotIn("credential", received)

    def test_unknown_routes_and_keys_are_refused(self):
        self.assertEqual(self.ask("/nowhere/1")[0], 404)
        self.assertEqual(self.ask("/read/1", key="stolen")[0], 401)
        self.assertEqual(self.runs(), [])

    def test_an_answer_to_another_request_is_not_relayed(self):
        self.inject_faults("crossed")
        status, request, body, _ = self.ask("/read/1")
        self.assertEqual(status, 502)
        self.assertEqual(body, b"")

    def test_an_extra_answer_is_not_relayed_to_the_next_request(self):
        self.inject_faults("extra", "extra")
        for _ in range(6):
            status, request, body, _ = self.ask("/write/1")
            self.assertEqual((status, body),
                             (200, b"answer to " + request.encode()))

    def test_an_idempotent_request_is_retried_after_a_truncated_answer(self):
        self.targets[0].faults = ["truncated"]
        self.targets[1].faults = ["truncated"]
        statuses = [self.ask("/read/1")[0] for _ in range(3)]
        self.assertIn(200, statuses)
        self.assertTrue(set(statuses) <= {200, 502})

    def test_a_cut_stream_resumes_at_another_target(self):
        self.inject_faults("cut")
        self.targets[1].faults = []
        for _ in range(4):
            status, _, body, _ = self.ask("/stream/1")
            self.assertEqual(status, 200)
            numbers = [int(line[4:]) for line in body.decode().splitlines()
                       if line.startswith("id: ")]
            self.assertEqual(numbers, list(range(1, 11)))

    def test_a_stream_that_cannot_resume_does_not_look_complete(self):
        self.inject_faults("cut")
        with self.assertRaises(http.client.IncompleteRead):
            self.ask("/stream/once/1")
        self.assertEqual(len(self.runs()), 1)

    # At-most-once execution, and refusals that state it correctly.

    def test_a_request_that_may_have_run_is_never_retried(self):
        for fault in ("lost", "reset", "hang", "truncated", "crossed", "error"):
            self.inject_faults(fault)
            before = sum(len(t.received) for t in self.targets)
            status = self.ask("/write/1", wait_ms=700)[0]
            self.assertNotIn(status, (200, 408, 421, 429, 503), fault)
            after = sum(len(t.received) for t in self.targets)
            self.assertEqual(after - before, 1, fault)

    def test_a_request_that_a_target_refused_is_retried_at_the_next(self):
        self.targets[0].faults = ["shed"]
        self.targets[1].faults = ["shed"]
        self.assertEqual({self.ask("/write/1")[0] for _ in range(2)},
                         {200, 503})

    def test_a_refusal_names_a_time_to_retry(self):
        self.inject_faults(*["shed"] * 5)
        status, request, _, answer = self.ask("/write/1")
        self.assertEqual(status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual(self.runs(), [])

    # Timeouts.

    def test_the_routes_timeout_ends_a_request(self):
        self.inject_faults("hang", "hang")
        self.assertEqual(self.ask("/short/1")[0], 504)

    def test_targets_receive_the_remaining_time(self):
        self.ask("/read/1", wait_ms=3000)
        received = [h for t in self.targets for h in t.received][0]
        self.assertLessEqual(int(received["deadline-ms"]), 3000)
        self.assertGreater(int(received["deadline-ms"]), 1000)

    # Callers.

    def test_the_stream_of_a_caller_that_left_is_cancelled(self):
        for target in self.targets:
            target.event_gap = 0.2
        connection = self.connect()
        sent = self.headers()
        connection.request("POST", "/stream/1", b"x", sent)
        answer = connection.getresponse()
        answer.read(10)
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()
        wait_for(lambda: any(t.cancelled for t in self.targets),
                 "the target notices that the caller left")

    def test_a_request_whose_caller_has_left_is_not_sent(self):
        # The paused router reads the request only after the caller has closed
        # the connection, as under overload.
        raw = socket.create_connection(("127.0.0.1", self.edge.caller))
        head = "".join(f"{n}: {v}\r\n" for n, v in self.headers().items())
        os.kill(self.edge.process.pid, signal.SIGSTOP)
        raw.sendall(f"GET /read/1 HTTP/1.1\r\n{head}\r\n".encode())
        raw.close()
        time.sleep(0.2)
        os.kill(self.edge.process.pid, signal.SIGCONT)
        self.assertEqual(self.ask("/read/2")[0], 200)
        self.assertEqual(sum(len(t.received) for t in self.targets), 1)

    def test_ambiguous_framing_is_refused_and_affects_no_other_request(self):
        raw = socket.create_connection(("127.0.0.1", self.edge.caller))
        raw.sendall(b"POST /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                    b"0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n")
        self.assertTrue(raw.recv(4096).startswith(b"HTTP/1.1 400"))
        raw.close()
        self.assertEqual(self.ask("/read/1")[0], 200)
        self.assertEqual(len(self.runs()), 1)

    def test_limits_of_the_configuration_hold(self):
        self.assertEqual(self.ask("/read/1", body=b"x" * 70000)[0], 413)
        connection = self.connect()
        connection.request("GET", "/read/1", headers=dict(
            self.headers(), Long="x" * 5000))
        self.assertEqual(connection.getresponse().status, 431)
        connection.close()

    # Updates from the store.

    def test_a_new_configuration_is_in_force_and_an_older_one_is_not(self):
        self.store.put("op", "config", configuration(
            5, extra=[route("/new/", "idempotent")]))
        wait_for(lambda: self.ask("/new/1")[0] == 200, "the new route")
        self.store.put("op", "config", configuration(4))
        time.sleep(1.0)
        self.assertEqual(self.ask("/new/1")[0], 200)

    def test_a_faulty_configuration_changes_nothing(self):
        self.store.put("op", "config", "{not json")
        wait_for(lambda: any(line["event"] == "configuration_rejected"
                             for line in self.edge.lines), "it is logged")
        self.assertEqual(self.ask("/read/1")[0], 200)

    def test_a_revoked_key_is_refused(self):
        self.store.put("op", "config", configuration(2, keys=("key-2",)))
        wait_for(lambda: self.ask("/read/1")[0] == 401, "the key is refused")
        self.assertEqual(self.ask("/read/1", key="key-2")[0], 200)

    def test_keys_are_not_trusted_without_the_store(self):
        for fault in ("silent", "busy"):
            self.store.fault = fault
            wait_for(lambda: self.ask("/read/1")[0] == 503,
                     "keys count as unconfirmed")
            self.assertFalse(self.edge.is_ready())
            self.store.fault = None
            wait_for(lambda: self.ask("/read/1")[0] == 200,
                     "keys are confirmed again")

    def test_a_draining_target_gets_no_new_request(self):
        self.targets[0].drain()
        wait_for(lambda: any(line["event"] == "target_left"
                             for line in self.edge.lines), "it is noticed")
        received = len(self.targets[0].received)
        for _ in range(10):
            self.assertEqual(self.ask("/read/1")[0], 200)
        self.assertEqual(len(self.targets[0].received), received)

    def test_a_malformed_row_affects_no_other(self):
        self.store.put("servers", "odd", "\x00\x01")
        wait_for(lambda: any(line["event"] == "target_row_malformed"
                             for line in self.edge.lines), "it is logged")
        self.assertEqual(self.ask("/read/1")[0], 200)

    # Stopping.

    def test_a_kept_connection_is_served_while_the_router_stops(self):
        connection = self.connect()
        self.assertEqual(self.ask("/read/1", connection=connection)[0], 200)
        self.edge.process.send_signal(signal.SIGTERM)
        wait_for(lambda: not self.edge.is_ready(), "the router is not ready")
        status, _, _, answer = self.ask("/read/1", connection=connection)
        self.assertEqual(status, 200)
        self.assertEqual(answer.headers["Connection"], "close")
        connection.close()
        self.edge.process.wait(timeout=WAIT_SECONDS)
        self.assertEqual(self.edge.process.returncode, 0)

    def test_a_stopping_router_removes_its_row(self):
        def row():
            return self.store.rows.get(("routers", "e0"), (None, 0))[0]
        wait_for(lambda: row() is not None, "the row is written")
        self.edge.process.send_signal(signal.SIGTERM)
        wait_for(lambda: row() is None, "the row is removed")

    def test_a_stopping_router_calls_the_store_seldom(self):
        self.edge.process.send_signal(signal.SIGTERM)
        wait_for(lambda: self.store.rows[("routers", "e0")][0] is None,
                 "the row is removed")
        before = self.store.calls
        time.sleep(2)
        # Two lists of targets, and watches of the configuration.
        self.assertLessEqual(self.store.calls - before, 12)

    def test_a_request_in_progress_ends_while_the_router_stops(self):
        self.inject_faults("slow")
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.ask("/write/1")[0]))
        thread.start()
        wait_for(lambda: self.runs(), "the request runs")
        self.edge.process.send_signal(signal.SIGTERM)
        thread.join()
        self.assertEqual(answers, [200])


class FleetTest(EdgeTest):
    """Several routers that find each other through the store."""

    edge_count = 3

    def addresses(self, edge):
        status, body = get(edge.directory,
                           "/v1/resolve?name=shop.example&zone=west")
        return set(json.loads(body)["addrs"]) if status == 200 else set()

    def test_the_directory_names_all_routers_that_serve(self):
        serving = {f"127.0.0.1:{edge.caller}" for edge in self.edges}
        for edge in self.edges:
            wait_for(lambda: self.addresses(edge) == serving, "all are named")
        self.edges[2].process.send_signal(signal.SIGTERM)
        serving.remove(f"127.0.0.1:{self.edges[2].caller}")
        for edge in self.edges[:2]:
            wait_for(lambda: self.addresses(edge) == serving,
                     "the stopping router is not named")
        self.edges[1].process.kill()
        serving.remove(f"127.0.0.1:{self.edges[1].caller}")
        wait_for(lambda: self.addresses(self.edges[0]) == serving,
                 "the killed router is not named")

    def test_a_router_that_was_paused_trusts_no_key(self):
        edge = self.edges[1]
        os.kill(edge.process.pid, signal.SIGSTOP)
        self.store.put("op", "config", configuration(2, keys=("key-2",)))
        time.sleep(6)  # Longer than the revocation bound.
        os.kill(edge.process.pid, signal.SIGCONT)
        connection = self.connect(edge)
        status = self.ask("/read/1", connection=connection)[0]
        self.assertIn(status, (401, 503))
        wait_for(lambda: self.ask("/read/1", key="key-2",
                                  connection=connection)[0] == 200,
                 "it serves again")
        connection.close()


class PagedStoreTest(EdgeTest):
    """The rows of targets and routers fill several pages."""
    edge_count = 3

    def setUp(self):
        # The store of `setUp` is made there, so the default is changed.
        standin.Store.page_rows = 1
        super().setUp()

    def tearDown(self):
        super().tearDown()
        standin.Store.page_rows = 500

    def test_rows_beyond_the_first_page_count(self):
        late = Edge(self.store, "e9")
        self.edges.append(late)
        wait_for(late.is_ready, "the late router is ready")
        # It finds all others by their rows; nobody has reported to it before.
        wait_for(lambda: b"papayaplank_routers_live 4" in
                 get(late.metrics, "/metrics")[1], "all routers are known")
        self.assertEqual(self.ask("/read/1")[0], 200)


class RejectedByStoreTest(EdgeTest):
    """Two routers; the store rejects the calls of one of them."""

    def setUp(self):
        super().setUp()
        self.rejecting_store = standin.RejectingStore(self.store)
        self.other = Edge(self.rejecting_store, "other")
        self.edges.append(self.other)
        wait_for(self.other.is_ready, "the other router is ready")
        wait_for(lambda: self.joined_targets(self.other) == 2,
                 "both targets have joined")
        wait_for(lambda: self.receives_peer_reports(self.edge),
                 "the first router receives reports of the other")

    def tearDown(self):
        super().tearDown()
        self.rejecting_store.stop()

    def receives_peer_reports(self, edge):
        return any(line["event"] == "load" and line["routers"] > 1
                   for line in edge.lines)

    def ask_other(self, path, **headers):
        connection = self.connect(self.other)
        status = self.ask(path, connection=connection, **headers)[0]
        connection.close()
        return status

    def test_it_applies_the_configuration_of_a_peer(self):
        self.rejecting_store.is_rejecting = True
        wait_for(lambda: any(line["event"] == "store_lost"
                             for line in self.other.lines), "it is noticed")
        # A call that waits for changes may still be open and get this one.
        time.sleep(1.0)
        self.store.put("op", "config", configuration(
            3, keys=("key-2",), extra=[route("/new/", "idempotent")]))
        wait_for(lambda: self.ask_other("/new/1", key="key-2") == 200,
                 "the new version is in force there")
        self.assertEqual(self.ask_other("/read/1", key="key-1"), 401)
        line = [line for line in self.other.lines
                if line["event"] == "configuration_in_force"][-1]
        self.assertNotEqual(line["source"], "store")

    def test_it_calls_a_rejecting_store_less_and_less_often(self):
        self.rejecting_store.is_rejecting = True
        time.sleep(6)
        # Without a backoff, five calls a second would make thirty.
        self.assertLessEqual(self.rejecting_store.rejected_calls, 15)
        self.assertEqual(self.ask_other("/read/1"), 200)
        self.rejecting_store.is_rejecting = False
        wait_for(lambda: any(line["event"] == "store_regained"
                             for line in self.other.lines),
                 "the store answers again")

    def test_it_restarts_with_the_configuration_of_a_peer(self):
        self.rejecting_store.is_rejecting = True
        self.other.restart(self.rejecting_store)
        wait_for(self.other.is_ready, "it is ready again")
        wait_for(lambda: self.joined_targets(self.other) == 2,
                 "both targets have joined")
        self.assertEqual(self.ask_other("/read/1"), 200)


class ObservabilityTest(EdgeTest):
    """Logs and metrics."""

    def scrape(self):
        status, body = get(self.edge.metrics, "/metrics")
        self.assertEqual(status, 200)
        return body.decode()

    def line_of(self, request, event):
        def found():
            return [line for line in self.edge.lines
                    if line.get("request") == request and
                    line["event"] == event]
        wait_for(found, "a line " + event)
        return found()[0]

    def test_metrics_are_labelled_by_class_customer_target_and_outcome(self):
        self.assertEqual(self.ask("/read/1")[0], 200)
        self.assertEqual(self.ask("/read/1", key="stolen")[0], 401)
        text = self.scrape()
        for part in ('papayaplank_answers_total{class="/read/",'
                     'outcome="complete"} 1',
                     'papayaplank_answers_total{class="",'
                     'outcome="unknown_key"} 1',
                     'papayaplank_answer_seconds_count{customer="guild",'
                     'class="/read/"} 1',
                     'papayaplank_pool_targets{pool="s"} 2',
                     'papayaplank_configuration_version 1',
                     'papayaplank_store_calls_total'):
            self.assertIn(part, text)
        self.assertRegex(text, r'target_sends_total\{target="t\d",'
                               r'outcome="complete"\} 1')

    def test_only_the_peer_address_serves_the_configuration(self):
        for port in (self.edge.ready, self.edge.directory, self.edge.metrics):
            self.assertEqual(get(port, "/snapshot")[0], 404)
        self.assertIn(b"key-1", get(self.edge.peer, "/snapshot")[1])
        self.assertEqual(get(self.edge.directory, "/metrics")[0], 404)

    def test_scrapes_under_load_are_complete(self):
        def send_requests():
            for _ in range(200):
                self.ask("/read/1", key="stolen")
        threads = [threading.Thread(target=send_requests) for _ in range(4)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            self.assertTrue(self.scrape().endswith("\n"))
        self.assertIn('outcome="unknown_key"} 800', self.scrape())

    def test_a_failed_attempt_and_its_answer_are_logged(self):
        self.inject_faults("lost", "lost")
        status, request, _, _ = self.ask("/write/1")
        self.assertEqual(status, 502)
        last = self.line_of(request, "request_refused")
        self.assertEqual(last["outcome"], "target_failed")
        events = [line["event"] for line in self.edge.lines
                  if line.get("request") == request]
        self.assertEqual(events, ["send_failed", "request_refused"])
        self.assertEqual(last["customer"], "guild")
        self.assertEqual(last["caller"], "127.0.0.1")
        self.assertNotIn("key-1", json.dumps(self.edge.lines))

    def test_a_stalled_reader_of_the_log_affects_no_request(self):
        edge = Edge(self.store, "stalled", reads_log=False)
        self.edges.append(edge)
        wait_for(edge.is_ready, "the router is ready")
        connection = self.connect(edge)
        for _ in range(1500):
            self.ask("/read/1", key="stolen", connection=connection)
        wait_for(lambda: self.ask("/read/1", connection=connection)[0] == 200,
                 "it serves")
        connection.close()

    def test_a_closed_log_affects_no_request(self):
        edge = Edge(self.store, "closed", reads_log=False)
        self.edges.append(edge)
        edge.process.stdout.close()
        wait_for(edge.is_ready, "the router is ready")
        connection = self.connect(edge)
        wait_for(lambda: self.ask("/read/1", connection=connection)[0] == 200,
                 "it serves")
        connection.close()

    def test_hostile_bytes_are_escaped_in_log_lines(self):
        raw = socket.create_connection(("127.0.0.1", self.edge.caller))
        raw.sendall(b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    b"Attempt-Id: \"}{\xff\xfe\r\nCredential: stolen\r\n"
                    b"\r\n")
        self.assertTrue(raw.recv(4096).startswith(b"HTTP/1.1 401"))
        raw.close()
        # A line that is not JSON would have ended the thread that reads the
        # log.
        self.assertEqual(self.ask("/read/1", key="stolen")[0], 401)
        wait_for(lambda: any("}{" in line.get("request", "")
                             for line in self.edge.lines), "the line")


class SettingsTest(unittest.TestCase):
    def test_an_invalid_setting_is_named(self):
        result = subprocess.run([Edge.program, "--name=e", "--caller_listen=nowhere"],
                                capture_output=True, text=True, timeout=20)
        self.assertEqual(result.returncode, 2)
        self.assertIn("--caller_listen is 'nowhere'; give IP:port",
                      result.stderr)


# The subclasses don't repeat the tests of one router: None is not a test.
for case in [name for name in dir(EdgeTest) if name.startswith("test_")]:
    for subclass in (FleetTest, PagedStoreTest, RejectedByStoreTest,
                     ObservabilityTest):
        setattr(subclass, case, None)

if __name__ == "__main__":
    unittest.main()

"""Tests of papayaplank_edge against peers that send bytes without end.

Whoever sends them, a target, a caller or the store: the router's memory stays
bounded, the connection is closed, the caller gets a true answer in time, and
others are served meanwhile.
"""

import http.client
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

# Growth of the process that all senders may cause, kB; what a sender may get rid
# of lies in socket buffers as well.
MEMORY_SLACK_KB = 24 * 1024
MAX_ENDLESS_BYTES = 32 * 1024 * 1024
# Requests at the same time, whose answers are three times that memory.
MANY_REQUESTS = 400
# An answer long before the deadline of the request, which is 6 s.
PROMPT_SECONDS = 2.5
# The longest that a request to /short/ may take: its route's timeout, and 0.5 s.
SHORT_SECONDS = 1.1


class EndlessBytesTest(unittest.TestCase):
    request_count = 0

    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [standin.Target(self.store, f"t{i}", "s")
                        for i in range(2)]
        for target in self.targets:
            target.row["slots"] = MANY_REQUESTS
            self.store.put("servers", target.name, target.row)
        self.edge = Edge(self.store, "e0")
        wait_for(self.edge.is_ready, "the router is ready")
        wait_for(lambda: sum(line["event"] == "target_joined"
                             for line in self.edge.lines) == 2,
                 "both targets have joined")
        self.ask("/read/warm")
        self.memory_before = self.memory_peak()

    def tearDown(self):
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def memory_peak(self):
        with open(f"/proc/{self.edge.process.pid}/status",
                  encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        raise AssertionError("no VmHWM line")

    def ask(self, path, wait_ms=6000):
        EndlessBytesTest.request_count += 1
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=20)
        connection.request("POST", path, b"hello", {
            "Host": "shop.example", "Credential": "key-1",
            "Attempt-Id": f"id{EndlessBytesTest.request_count}",
            "Deadline-Ms": str(wait_ms)})
        answer = connection.getresponse()
        try:
            return answer.status, answer.read()
        finally:
            connection.close()

    def check_bounded(self):
        sent = sum(target.endless_bytes for target in self.targets)
        self.assertLess(sent + self.store.endless_bytes, MAX_ENDLESS_BYTES)
        growth = self.memory_peak() - self.memory_before
        self.assertLess(growth, MEMORY_SLACK_KB)

    def check_target(self, fault, path, statuses):
        for target in self.targets:
            target.faults = [fault] * 3
        began = time.monotonic()
        status, body = self.ask(path)
        self.assertLess(time.monotonic() - began, PROMPT_SECONDS, fault)
        self.assertIn(status, statuses, fault)
        self.assertEqual(body, b"", fault)
        wait_for(lambda: sum(t.ended_endless for t in self.targets) > 0,
                 "the connection to the target is closed")
        for target in self.targets:
            target.faults = []
        self.check_bounded()
        self.assertEqual(self.ask("/read/other")[0], 200)

    # Targets.

    def test_a_head_without_end(self):
        self.check_target("endless_head", "/write/1", {502})

    def test_a_header_line_without_end(self):
        self.check_target("endless_line", "/write/1", {502})

    def test_a_body_that_is_no_answer(self):
        self.check_target("endless_body", "/write/1", {502})

    def test_a_body_that_is_no_answer_on_a_stream(self):
        self.check_target("endless_body", "/stream/once/1", {502})

    def test_the_body_of_an_error_on_a_stream(self):
        self.check_target("endless_error", "/stream/once/1", {502})

    # The head of a long answer promised a caller that its request had not run.
    def test_the_body_of_a_refusal_to_a_request_that_has_run(self):
        self.check_target("endless_503", "/write/1", {502})
        self.check_target("endless_429", "/write/2", {502})

    def test_an_event_without_end(self):
        self.check_target("endless_event", "/stream/once/1", {502})

    # Each piece of an event was searched again with all pieces before it, so that
    # one stream took the processor for longer than its timeout.
    def test_an_event_without_end_in_small_chunks(self):
        self.check_target("endless_lines", "/stream/once/1", {502})

    def check_others(self, fault):
        """Others are served while a target sends without end."""
        for target in self.targets:
            target.faults = [fault]
        stream = threading.Thread(target=self.ask_stream)
        stream.start()
        wait_for(lambda: sum(t.endless_bytes for t in self.targets) > 0,
                 "the stream has begun")
        for target in self.targets:
            target.faults = []
        for _ in range(10):
            began = time.monotonic()
            self.assertEqual(self.ask("/short/1", wait_ms=2000)[0], 200, fault)
            self.assertLess(time.monotonic() - began, SHORT_SECONDS, fault)
        stream.join()

    def ask_stream(self):
        try:
            self.ask("/stream/once/1", wait_ms=4000)
        except (http.client.HTTPException, OSError):
            pass  # It is cut at its deadline, or by the end of the test.

    def test_others_are_served_beside_an_event_without_end(self):
        self.check_others("endless_lines")

    def test_others_are_served_beside_comments_without_end(self):
        self.check_others("endless_comments")

    def test_a_chunk_extension_without_end(self):
        self.check_target("endless_chunk", "/stream/once/1", {502})

    def test_a_trailer_without_end(self):
        self.check_target("endless_trailer", "/stream/once/1", {502})

    def start_many(self, fault, path):
        """Starts many requests to targets with this fault."""
        for target in self.targets:
            target.faults = [fault] * MANY_REQUESTS
        answers = []
        callers = [threading.Thread(
            target=lambda: answers.append(self.ask(path, wait_ms=3000)[0]))
            for _ in range(MANY_REQUESTS)]
        for caller in callers:
            caller.start()
        return callers, answers

    def received(self):
        return sum(MANY_REQUESTS - len(target.faults)
                   for target in self.targets)

    def finish_many(self, callers, answers, others=frozenset()):
        for caller in callers:
            caller.join()
        # Some end at once for lack of memory; the others wait for the rest.
        self.assertLessEqual(set(answers), {502, 503, 504} | others)
        self.check_bounded()

    def check_many(self, fault, path):
        callers, answers = self.start_many(fault, path)
        for caller in callers:
            caller.join()
        self.assertGreater(self.received(), MANY_REQUESTS // 2)
        for target in self.targets:
            target.faults = []
        self.finish_many(callers, answers)
        self.assertEqual(self.ask("/read/other")[0], 200)

    def test_many_bodies_that_are_no_answers(self):
        self.check_many("held_body", "/write/1")

    def test_many_long_errors(self):
        self.check_many("held_error", "/write/1")

    # A stream was cut in the middle of an event, as others took the memory.
    def test_many_long_errors_cut_no_other_stream(self):
        callers, answers = self.start_many("held_error", "/write/1")
        wait_for(lambda: self.received() > MANY_REQUESTS // 2 and 502 in answers,
                 "the memory for answers is taken")
        for target in self.targets:
            target.faults = ["pieces"] * MANY_REQUESTS
        status, body = self.ask("/stream/once/1")
        self.assertEqual((status, body.count(b"data: event")), (200, 10))
        for target in self.targets:
            target.faults = []
        # Those that came after the faults were taken back.
        self.finish_many(callers, answers, {200})

    def test_many_long_events(self):
        self.check_many("held_event", "/stream/once/1")

    def test_a_head_that_comes_byte_by_byte_ends_at_the_deadline(self):
        self.targets[0].faults = self.targets[1].faults = ["trickle"]
        began = time.monotonic()
        self.assertEqual(self.ask("/write/1", wait_ms=1000)[0], 504)
        self.assertLess(time.monotonic() - began, 1.5)
        wait_for(lambda: sum(t.ended_endless for t in self.targets) > 0,
                 "the connection to the target is closed")

    def test_an_idempotent_request_is_answered_by_another_target(self):
        self.targets[0].faults = ["endless_body"]
        self.targets[1].faults = []
        for _ in range(4):
            self.assertEqual(self.ask("/read/1")[0], 200)
        self.check_bounded()

    # Callers.

    def send_as_caller(self, first, repeated, pause=0.0, seconds=8):
        """Sends until the router closes; returns its answer and the time."""
        began = time.monotonic()
        raw = socket.create_connection(("127.0.0.1", self.edge.caller))
        raw.settimeout(0.05 if pause else 2)
        answer = b""
        try:
            raw.sendall(first)
            while time.monotonic() - began < seconds:
                raw.sendall(repeated)
                if not pause:
                    continue
                try:
                    received = raw.recv(4096)
                    if not received:
                        break
                    answer += received
                except socket.timeout:
                    pass
        except OSError:
            pass
        elapsed = time.monotonic() - began
        raw.close()
        return answer, elapsed

    def test_a_callers_head_that_comes_byte_by_byte_ends(self):
        # The configuration allows 3 s for a head.
        answer, elapsed = self.send_as_caller(
            b"POST /read/1 HTTP/1.1\r\nName: ", b"x", pause=0.05)
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer)
        self.assertLess(elapsed, 4.5)
        self.assertEqual(self.ask("/read/1")[0], 200)

    def test_a_callers_chunk_extension_without_end(self):
        _, elapsed = self.send_as_caller(
            b"POST /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5;", b"x" * 65536)
        self.assertLess(elapsed, PROMPT_SECONDS)
        self.check_bounded()
        self.assertEqual(self.ask("/read/1")[0], 200)

    # The store.

    def test_a_store_answer_without_end(self):
        self.store.fault = "endless"
        time.sleep(2)
        self.store.fault = None
        growth = self.memory_peak() - self.memory_before
        self.assertLess(growth, 2 * MEMORY_SLACK_KB)
        wait_for(self.edge.is_ready, "the router is ready again")
        self.assertEqual(self.ask("/read/1")[0], 200)


if __name__ == "__main__":
    unittest.main()

"""Tests of answers whose target is killed while it sends them: the kernel
closes its connections in an orderly way, as at the end of an answer without
framing."""

import http.client
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, get, wait_for  # noqa: E402
from killable_target import EVENTS, KillableTarget  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")
KILL_AT = 3  # Event after which the targets are killed.


class WorkersTarget(standin.Target):
    """Listens in one process; the workers that answer end together."""

    def __init__(self, store, name):
        self.answers = 0
        self.has_ended = threading.Event()
        super().__init__(store, name, "s")

    def serve(self, connection, start, headers, body):
        if headers.get("expect-runner") != self.name:
            connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        self.answers += 1
        is_unframed = self.answers % 2 == 0
        event = b"id: 1\ndata: event 1\n\n"
        connection.sendall(self.response_head(headers) + (
            b"\r\n" + event if is_unframed else
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n"
            % (len(event), event)))
        self.has_ended.wait()
        return False

    def end_workers(self):
        for connection in list(self.connections):
            connection.shutdown(socket.SHUT_RDWR)
        self.has_ended.set()


class KilledTargetsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [KillableTarget(self.store, f"t{i}") for i in range(2)]
        self.edge = Edge(self.store, "e0")
        wait_for(self.edge.is_ready, "the router is ready")
        self.requests = 0

    def tearDown(self):
        self.edge.stop()
        for target in self.targets:
            target.stop()
        self.store.stop()

    def ask(self, path):
        """Returns status, body, and whether the answer looked complete."""
        self.requests += 1
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=20)
        connection.request("POST", path, b"x", {
            "Host": "shop.example", "Attempt-Id": f"id{self.requests}",
            "Credential": "key-1", "Deadline-Ms": "6000"})
        answer = connection.getresponse()
        try:
            return answer.status, answer.read(), True
        except (http.client.IncompleteRead, OSError) as error:
            return answer.status, getattr(error, "partial", b""), False
        finally:
            connection.close()

    def count(self, event):
        return sum(line["event"] == event for line in self.edge.lines)

    def runs(self):
        return [run for target in self.targets for run in target.runs]

    @staticmethod
    def numbers(body):
        return [int(line[4:]) for line in body.decode().splitlines()
                if line.startswith("id: ")]

    def restart_targets(self, *plans):
        for target, plan in zip(self.targets, plans):
            target.restart(**plan)

    def test_a_stream_that_cannot_resume_is_not_complete(self):
        for is_unframed in (False, True):
            plan = {"unframed": is_unframed, "kill_at": KILL_AT}
            self.restart_targets(plan, plan)
            status, body, is_complete = self.ask("/stream/once/1")
            self.assertEqual(status, 200)
            self.assertEqual(self.numbers(body), list(range(1, KILL_AT + 1)))
            self.assertFalse(is_complete, f"unframed: {is_unframed}")

    def test_a_stream_that_can_resume_has_all_events(self):
        for is_unframed in (False, True):
            killed = {"unframed": is_unframed, "kill_at": KILL_AT}
            sound = {"unframed": is_unframed}
            # Either target may be asked first.
            for plans in ((killed, sound), (sound, killed)) * 2:
                self.restart_targets(*plans)
                status, body, is_complete = self.ask("/stream/1")
                self.assertEqual((status, is_complete), (200, True))
                self.assertEqual(self.numbers(body),
                                 list(range(1, EVENTS + 1)),
                                 f"unframed: {is_unframed}")
            resumed = [run for run in self.runs() if run[1] == KILL_AT + 1]
            self.assertTrue(resumed, f"unframed: {is_unframed}")

    def test_half_of_a_plain_answer_is_not_complete(self):
        for is_unframed in (False, True):
            plan = {"unframed": is_unframed, "kill_at": KILL_AT}
            self.restart_targets(plan, plan)
            status, body, _ = self.ask("/write/1")
            self.assertEqual((status, body), (502, b""),
                             f"unframed: {is_unframed}")

    def test_workers_that_end_behind_a_listener_are_noticed(self):
        for target in self.targets:
            self.store.remove("servers", target.name)
        workers = WorkersTarget(self.store, "w0")
        self.addCleanup(workers.stop)
        wait_for(lambda: self.count("target_left") == len(self.targets) and
                 self.count("target_joined") == len(self.targets) + 1,
                 "the router knows only the new target")
        answers = []
        callers = [threading.Thread(target=lambda: answers.append(
            self.ask("/stream/once/1"))) for _ in range(4)]
        for caller in callers:
            caller.start()
        wait_for(lambda: workers.answers == len(callers), "all streams began")
        time.sleep(0.2)
        workers.end_workers()
        for caller in callers:
            caller.join()
        self.assertEqual([is_complete for _, _, is_complete in answers],
                         [False] * len(callers))

    def test_whole_unframed_answers_are_relayed(self):
        self.restart_targets({"unframed": True}, {"unframed": True})
        self.assertEqual(self.ask("/write/1"), (200, b"answer to id1", True))
        for path in ("/stream/1", "/stream/once/1"):
            status, body, is_complete = self.ask(path)
            self.assertEqual((status, is_complete), (200, True))
            self.assertEqual(self.numbers(body), list(range(1, EVENTS + 1)))
        self.assertEqual(len(self.runs()), 3)


if __name__ == "__main__":
    unittest.main()

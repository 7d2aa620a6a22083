"""Tests of answers with neither a length nor chunks, which end with their
connection: whole ones are passed on, broken ones never look complete."""

import http.client
import os
import signal
import socket
import struct
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

EVENTS = 10


class UnframedTarget(standin.Target):
    """Answers without framing.

    `ending` of the first answer; later ones are whole:
        "whole"        closes the connection after the last byte
        "reset"        resets the connection in the middle, between two events
        "inside_event" closes the connection within an event
        "no_event"     closes the connection after the head
        "no_body"      resets the connection after the head
    """

    ending = "whole"
    body = b"answer"

    def serve(self, connection, start, headers, body):
        self.received.append(headers)
        if headers.get("expect-runner") != self.name:
            connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        first = int(headers.get("last-event-id", 0)) + 1
        self.runs.append((headers["attempt-id"], first))
        ending, self.ending = self.ending, "whole"
        pieces = [self.body[:len(self.body) // 2],
                  self.body[len(self.body) // 2:]]
        if start[1].startswith("/stream/"):
            pieces = [b"id: %d\ndata: event %d\n\n" % (number, number)
                      for number in range(first, EVENTS + 1)]
        connection.sendall(self.response_head(headers) + b"\r\n")
        if ending in ("no_event", "no_body"):
            pieces = []
        elif ending in ("reset", "inside_event"):
            pieces = pieces[:max(1, len(pieces) // 2)]
        for piece in pieces:
            connection.sendall(piece)
        if ending == "inside_event":
            connection.sendall(b"id: 99\nda")
        if ending in ("reset", "no_body"):
            # The router reads what was sent before the reset discards it.
            standin.time.sleep(0.2)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        return False

    def run(self, connection):
        # The last reference to the socket closes it, without shutdown.
        message = standin.read_message(connection.makefile("rb"))
        try:
            if message is not None:
                self.serve(connection, *message)
        finally:
            self.connections.discard(connection)
            connection.close()


class UnframedAnswersTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [UnframedTarget(self.store, f"t{i}", "s")
                        for i in range(2)]
        self.edge = Edge(self.store, "e0")
        wait_for(self.edge.is_ready, "the router is ready")
        self.requests = 0

    def tearDown(self):
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def ask(self, path):
        """Returns status, body, and whether the answer was complete."""
        self.requests += 1
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=20)
        connection.request("POST", path, b"x", {
            "Host": "shop.example", "Attempt-Id": f"id{self.requests}",
            "Credential": "key-1", "Deadline-Ms": "6000"})
        answer = connection.getresponse()
        try:
            return answer.status, answer.read(), True
        except http.client.IncompleteRead as error:
            return answer.status, error.partial, False
        finally:
            connection.close()

    def set_ending(self, ending):
        for target in self.targets:
            target.ending = ending

    def runs(self):
        return [run for target in self.targets for run in target.runs]

    @staticmethod
    def numbers(body):
        return [int(line[4:]) for line in body.decode().splitlines()
                if line.startswith("id: ")]

    def test_a_pause_of_the_router_does_not_cut_a_later_stream(self):
        self.edge.process.send_signal(signal.SIGSTOP)
        time.sleep(0.4)
        self.edge.process.send_signal(signal.SIGCONT)
        answer = 503, b"", True
        while answer[0] == 503:  # Refused until the router has caught up.
            answer = self.ask("/stream/once/1")
        self.assertEqual(answer[::2], (200, True))

    def test_a_whole_answer_is_relayed(self):
        for path in ("/read/1", "/write/1"):
            self.assertEqual(self.ask(path), (200, b"answer", True))

    def test_a_whole_long_answer_is_relayed(self):
        for target in self.targets:
            target.body = b"0123456789" * 60000
        self.assertEqual(self.ask("/write/1"),
                         (200, self.targets[0].body, True))

    def test_a_whole_stream_is_relayed(self):
        for path in ("/stream/1", "/stream/once/1"):
            status, body, is_complete = self.ask(path)
            self.assertEqual((status, is_complete), (200, True))
            self.assertEqual(self.numbers(body), list(range(1, EVENTS + 1)))

    def test_an_answer_that_is_reset_is_not_complete(self):
        for ending in ("reset", "no_body"):
            self.set_ending(ending)
            before = len(self.runs())
            status, body, _ = self.ask("/write/1")
            self.assertEqual((status, body), (502, b""), ending)
            self.assertEqual(len(self.runs()) - before, 1, ending)

    def test_a_long_answer_that_is_reset_is_not_complete(self):
        for target in self.targets:
            target.body = b"0123456789" * 60000
        self.set_ending("reset")
        status, body, is_complete = self.ask("/write/1")
        self.assertFalse(status == 200 and is_complete)

    def test_a_broken_stream_is_resumed(self):
        for ending in ("inside_event", "reset", "no_event", "no_body"):
            self.targets[0].ending = ending
            self.targets[1].ending = ending
            for _ in range(3):
                status, body, is_complete = self.ask("/stream/1")
                if status == 200 and is_complete:
                    self.assertEqual(self.numbers(body),
                                     list(range(1, EVENTS + 1)), ending)

    def test_a_broken_stream_that_cannot_resume_is_not_complete(self):
        for ending in ("inside_event", "reset", "no_event", "no_body"):
            self.set_ending(ending)
            before = len(self.runs())
            status, body, is_complete = self.ask("/stream/once/1")
            self.assertFalse(status == 200 and is_complete, ending)
            self.assertNotIn(b"99", body)
            self.assertEqual(len(self.runs()) - before, 1, ending)


if __name__ == "__main__":
    unittest.main()

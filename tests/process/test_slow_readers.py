"""Tests of callers and targets that read nothing for seconds: their connections
stay, and the answers are whole."""

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

PAUSE_SECONDS = 4.5  # Well within the deadline.
DEADLINE_MS = 8000
WINDOW_BYTES = 4096  # Receive buffer of a slow reader.
EVENTS = 64
ANSWER_BYTES = 200000
UPLOAD_BYTES = 60000


class SlowTarget(standin.Target):
    """Sends its answers at once; reads requests after `pause`."""

    pause = 0.0

    def __init__(self, store, name):
        self.bodies = []
        super().__init__(store, name, "s")
        # Inherited by the connections.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 WINDOW_BYTES)

    def run(self, connection):
        time.sleep(self.pause)
        super().run(connection)

    def serve(self, connection, start, headers, body):
        self.bodies.append(body)
        if start[1].startswith("/stream/"):
            connection.sendall(self.response_head(
                headers, extra=b"Transfer-Encoding: chunked\r\n") + b"\r\n")
            for number in range(1, EVENTS + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 350)
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            connection.sendall(b"0\r\n\r\n")
        else:
            connection.sendall(self.response_head(
                headers, extra=b"Content-Length: %d\r\n" % ANSWER_BYTES) +
                b"\r\n" + b"x" * ANSWER_BYTES)
        return True


class SlowReadersTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.addCleanup(self.store.stop)
        self.target = SlowTarget(self.store, "t0")
        self.addCleanup(self.target.stop)
        self.edge = Edge(self.store, "e0")
        self.addCleanup(self.edge.stop)
        wait_for(self.edge.is_ready, "the router is ready")

    def ask(self, path, pause, version="1.1", body=b"x", more=""):
        """Returns what the caller reads until the router closes, or has sent a
        whole answer; `pause` seconds after the request."""
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              WINDOW_BYTES)
            caller.settimeout(DEADLINE_MS / 1000)
            caller.connect(("127.0.0.1", self.edge.caller))
            caller.sendall(
                f"POST {path} HTTP/{version}\r\nHost: shop.example\r\n"
                f"Attempt-Id: id1\r\nCredential: key-1\r\n{more}"
                f"Deadline-Ms: {DEADLINE_MS}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            time.sleep(pause)
            received = b""
            try:
                while not received.endswith(b"\r\n0\r\n\r\n"):
                    piece = caller.recv(65536)
                    if not piece:
                        break
                    received += piece
            except ConnectionError as error:
                self.fail(f"{error} after {len(received)} bytes")
            return received

    # The router reset callers whose window was closed for 3 s (LOST).
    def test_a_caller_that_reads_a_stream_late(self):
        answer = self.ask("/stream/once/1", PAUSE_SECONDS)
        self.assertEqual(answer.count(b"data: "), EVENTS)
        self.assertTrue(answer.endswith(b"\r\n0\r\n\r\n"))

    def test_a_caller_of_http_1_0_that_reads_a_stream_late(self):
        answer = self.ask("/stream/once/1", PAUSE_SECONDS, version="1.0")
        self.assertEqual(answer.count(b"data: "), EVENTS)

    def test_a_caller_that_reads_its_last_answer_late(self):
        answer = self.ask("/write/1", PAUSE_SECONDS,
                          more="Connection: close\r\n")
        self.assertEqual(len(answer.partition(b"\r\n\r\n")[2]), ANSWER_BYTES)

    # The same towards targets.
    def test_a_target_that_reads_a_request_late(self):
        self.target.pause = PAUSE_SECONDS
        body = b"y" * UPLOAD_BYTES
        answer = self.ask("/write/1", 0, body=body,
                          more="Connection: close\r\n")
        self.assertEqual(answer.split(b"\r\n")[0], b"HTTP/1.1 200 OK")
        self.assertEqual(self.target.bodies, [body])

    def test_callers_that_leave_while_they_read_nothing_are_noticed(self):
        thread = threading.Thread(target=self.leave_early)
        thread.start()
        thread.join()
        wait_for(lambda: any(line["event"] == "caller_left"
                             and line["caller_end"] in ("closed", "reset")
                             for line in self.edge.lines),
                 "the router notices that the caller has left")

    def leave_early(self):
        with socket.socket() as caller:
            caller.connect(("127.0.0.1", self.edge.caller))
            self.target.pause = PAUSE_SECONDS
            caller.sendall(
                b"POST /write/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"Attempt-Id: id2\r\nCredential: key-1\r\n"
                b"Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n")
            time.sleep(0.5)


if __name__ == "__main__":
    unittest.main()

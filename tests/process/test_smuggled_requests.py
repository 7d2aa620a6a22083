"""Tests that no body is taken for a request, by neither router, and that callers
behind such a body get no answer of another one."""

import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import raw_targets as raw  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

BUILD = sys.argv.pop(1)
Edge.program = os.path.join(BUILD, "apps/papayaplank_edge")

CODINGS = ("gzip", "identity", "xchunked", "deflate", "chunked, gzip",
           "gzip, chunked", "chunked;q=1")
READ_SECONDS = 3.0


def talk(port, data):
    """Sends `data` and returns all that comes back until the end or a pause."""
    answer = b""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(READ_SECONDS)
        connection.sendall(data)
        try:
            while received := connection.recv(65536):
                answer += received
        except (socket.timeout, ConnectionError):
            pass
    return answer


def request(path, headers, body=b""):
    lines = [f"POST {path} HTTP/1.1", "Host: shop.example"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class CodedTarget(standin.Target):
    """Answers with the transfer coding that is set."""

    answer_coding = None

    def serve(self, connection, start, headers, body):
        if self.answer_coding is None:
            return super().serve(connection, start, headers, body)
        coding = b"Transfer-Encoding: %s\r\n" % self.answer_coding.encode()
        connection.sendall(self.response_head(headers, extra=coding) +
                           b"\r\n2\r\nab\r\n0\r\n\r\n")
        return False


class EdgeTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.target = CodedTarget(self.store, "t0", "s")
        self.edge = Edge(self.store, "e0")
        self.addCleanup(self.store.stop)
        self.addCleanup(self.target.stop)
        self.addCleanup(self.edge.stop)
        wait_for(self.edge.is_ready, "the router is ready")
        wait_for(lambda: any(line["event"] == "target_joined"
                             for line in self.edge.lines),
                 "the target has joined")

    def send(self, request_id, headers, body=b""):
        return request("/write/1", [("Credential", "key-1"),
                                    ("Attempt-Id", request_id),
                                    ("Deadline-Ms", "4000"), *headers], body)

    def test_a_body_of_unknown_coding_is_no_request(self):
        for i, coding in enumerate(CODINGS):
            with self.subTest(coding=coding):
                inner = self.send(f"inner{i}", [("Content-Length", "0")])
                answer = talk(self.edge.caller, self.send(
                    f"outer{i}", [("Transfer-Encoding", coding)], inner))
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)
                self.assertRegex(answer, b"^HTTP/1.1 (400|501) ")
                self.assertIn(b"Connection: close", answer)
                self.assertEqual(self.target.runs, [])

    def test_chunks_are_served(self):
        answer = talk(self.edge.caller, self.send(
            "chunks", [("Transfer-Encoding", "chunked"),
                       ("Connection", "close")], b"2\r\nab\r\n0\r\n\r\n"))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
        self.assertEqual(len(self.target.runs), 1)

    def test_an_answer_of_unknown_coding_is_no_answer(self):
        for coding in ("identity", "gzip", "xchunked", "gzip, chunked"):
            with self.subTest(coding=coding):
                self.target.answer_coding = coding
                answer = talk(self.edge.caller, self.send(
                    "answer " + coding, [("Content-Length", "0"),
                                         ("Connection", "close")]))
                self.assertRegex(answer, b"^HTTP/1.1 502 ")


class RouterTest(unittest.TestCase):
    def setUp(self):
        self.paths = []

        def serve(connection, received):
            self.paths.append(received.path)
            connection.sendall(raw.answer(received, 200, b"fine"))
            return True
        self.target = raw.RawTarget()
        self.target.serve = serve
        self.fleet = raw.RawFleet(BUILD, service=self.target)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def test_a_body_of_unknown_coding_is_no_request(self):
        caller = self.fleet.routers[0].caller
        port = int(str(caller).rsplit(":", 1)[-1])
        key = raw.fleets.key_of(raw.CUSTOMERS[0])
        headers = [("Authorization", f"Bearer {key}")]
        for i, coding in enumerate(CODINGS):
            with self.subTest(coding=coding):
                inner = request(f"/desk/capture/inner{i}",
                                [*headers, ("Content-Length", "0")])
                answer = talk(port, request(
                    f"/desk/capture/outer{i}",
                    [*headers, ("Transfer-Encoding", coding)], inner))
                time.sleep(0.1)
                self.assertEqual(self.paths, [], answer)
                self.assertRegex(answer, b"^HTTP/1.1 (400|501) ")
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)

    def test_an_answer_of_unknown_coding_is_no_answer(self):
        for coding in ("identity", "gzip", "xchunked", "gzip, chunked"):
            with self.subTest(coding=coding):
                def serve(connection, received, coding=coding):
                    connection.sendall(raw.answer(
                        received, 200, b"2\r\nab\r\n0\r\n\r\n",
                        f"Transfer-Encoding: {coding}\r\n"))
                    return False
                self.target.serve = serve
                answer = raw.ask(self.fleet.routers[0], "/desk/capture", b"{}")
                self.assertEqual(answer.status, 502, answer)


if __name__ == "__main__":
    unittest.main()

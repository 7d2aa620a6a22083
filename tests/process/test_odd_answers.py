"""Tests of both routers with answers that are none: a status that HTTP doesn't
know, and a reset while the request is still being written."""

import http.client
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

STATUSES = (b"000", b"001", b"099", b"600", b"999")
# An answer long before the deadline of the request, which is 6 s.
PROMPT_SECONDS = 2.5
UPLOAD_BYTES = 4000000  # More than the socket buffers on the way hold.


class OddTarget(standin.Target):
    """Answers with `status` as it is written, a signature and a body."""

    status = b"200"

    def serve(self, connection, start, headers, body):
        self.runs.append(headers["attempt-id"])
        connection.sendall(
            b"HTTP/1.1 %s X\r\nAttempt-Id: %s\r\nRunner-Signature: s\r\n"
            b"Content-Length: 4\r\n\r\nbody"
            % (self.status, headers["attempt-id"].encode()))
        return True


def reset_upload(connection, make_head):
    """Answers without a length before the body is read, sends a part, and resets
    the connection. `make_head` gets the lines of the request's head."""
    head = b""
    while b"\r\n\r\n" not in head:
        received = connection.recv(1)
        if not received:
            return connection.close()
        head += received
    lines = head.decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in
               (line.partition(":") for line in lines[1:])}
    connection.sendall(make_head(headers) + b"\r\na part")
    return raw.reset(connection)


class ResettingTarget(standin.Target):
    def __init__(self, store, name, service):
        super().__init__(store, name, service)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def run(self, connection):
        reset_upload(connection, self.response_head)


class ResettingRawTarget(raw.RawTarget):
    def _run(self, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        reset_upload(connection, lambda headers:
                     b"HTTP/1.1 200 X\r\nX-Request-Id: %s\r\n"
                     % headers["x-request-id"].encode())


class EdgeTest(unittest.TestCase):
    def start(self, target_class):
        document = configuration(1)
        document["limits"]["max-body-bytes"] = 2 * UPLOAD_BYTES
        self.store = standin.Store()
        self.store.put("op", "config", document)
        self.addCleanup(self.store.stop)
        self.target = target_class(self.store, "t0", "s")
        self.addCleanup(self.target.stop)
        self.edge = Edge(self.store, "e0")
        self.addCleanup(self.edge.stop)
        wait_for(self.edge.is_ready, "the router is ready")
        self.requests = 0

    def ask(self, path, body=b"x"):
        self.requests += 1
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=20)
        connection.request("POST", path, body, {
            "Host": "shop.example", "Attempt-Id": f"id{self.requests}",
            "Credential": "key-1", "Deadline-Ms": "6000"})
        answer = connection.getresponse()
        try:
            return answer.status, answer.read()
        finally:
            connection.close()

    # A status below 100 was awaited on like an interim one, until the deadline; one
    # above 599 reached the caller (MIXED).
    def test_the_status_of_an_answer_is_one_of_http(self):
        self.start(OddTarget)
        for status in STATUSES:
            for path in ("/write/1", "/stream/once/1"):
                with self.subTest(status=status, path=path):
                    self.target.status = status
                    runs = len(self.target.runs)
                    began = time.monotonic()
                    self.assertEqual(self.ask(path), (502, b""))
                    self.assertLess(time.monotonic() - began, PROMPT_SECONDS)
                    self.assertEqual(len(self.target.runs), runs + 1)


    # Other systems took the part for a complete answer (MIXED).
    def test_a_reset_during_an_upload_is_no_whole_answer(self):
        self.start(ResettingTarget)
        for path in ("/write/1", "/read/1"):
            self.assertEqual(self.ask(path, b"x" * UPLOAD_BYTES), (502, b""))


class RouterTest(unittest.TestCase):
    def start(self, target):
        self.fleet = raw.RawFleet(BUILD, service=target)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def serve(self, connection, request):
        connection.sendall(raw.answer(request, 200, b"body").replace(
            b" 200 ", b" %s " % self.status, 1))
        return True

    # A status above 599 reached the caller.
    def test_the_status_of_an_answer_is_one_of_http(self):
        self.start(raw.RawTarget(self.serve, count=20))
        for status in STATUSES:
            with self.subTest(status=status):
                self.status = status
                began = time.monotonic()
                answer = raw.ask(self.fleet.routers[0], "/desk/capture", b"{}")
                self.assertEqual(answer.status, 502, answer)
                self.assertNotIn(b"body", answer.body)
                self.assertLess(time.monotonic() - began, PROMPT_SECONDS)

    def test_a_reset_during_an_upload_is_no_whole_answer(self):
        self.start(ResettingRawTarget(count=20))
        answer = raw.ask(self.fleet.routers[0], "/desk/capture",
                         b"x" * UPLOAD_BYTES)
        # The head is passed on before the end is known.
        self.assertFalse(answer.status == 200 and answer.is_whole, answer)


if __name__ == "__main__":
    unittest.main()

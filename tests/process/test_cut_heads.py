"""Tests that an answer which is cut in its head, or anywhere before its end,
never reaches a caller as a whole one."""

import os
import socket
import struct
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

BODY = b"the whole answer"
OWN = b"Attempt-Id: %(id)s\r\nRunner-Signature: s\r\n"
CHUNKS = b"9\r\nthe whole\r\n7;x=y\r\n answer\r\n0\r\nEnd: 1\r\n\r\n"
# Heads and bodies. All but the unframed one show their end.
ANSWERS = {
    "length": (b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 16\r\n\r\n",
               BODY),
    "chunks": (b"HTTP/1.1 200 OK\r\n" + OWN +
               b"Transfer-Encoding: chunked\r\nTrailer: End\r\n\r\n", CHUNKS),
    "unframed": (b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\n", BODY),
    "interim": (b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 16\r\n\r\n",
                BODY),
    "folded": (b"HTTP/1.1 200 OK\r\n" + OWN +
               b"Long: one\r\n two\r\nContent-Length: 16\r\n\r\n", BODY),
    "earlier": (b"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n"
                b"Content-Length: 4\r\n\r\nlate"
                b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 16\r\n\r\n",
                BODY),
}


class CuttingTarget(standin.Target):
    """Sends the first `size` bytes of an answer and ends the connection."""

    answer = b""
    size = 0
    resets = False

    def serve(self, connection, start, headers, body):
        data = self.answer % {b"id": headers["attempt-id"].encode()}
        connection.sendall(data[:self.size])
        if self.resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        return False


class Answer:
    """What a caller got; `is_whole` if its framing says so."""

    def __init__(self, data, method, was_reset):
        head, separator, self.body = data.partition(b"\r\n\r\n")
        self.status = int(head.split(b" ")[1]) if separator else 0
        fields = {}
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip()
        if b"content-length" in fields:
            length = int(fields[b"content-length"])
            self.is_whole = method == "HEAD" or len(self.body) == length
        elif fields.get(b"transfer-encoding") == b"chunked":
            self.is_whole = self.body.endswith(b"0\r\n\r\n")
        else:
            self.is_whole = not was_reset
        self.is_whole &= bool(separator)


class CutHeadTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.targets = [CuttingTarget(self.store, f"t{i}", "s")
                        for i in range(2)]
        self.edge = Edge(self.store, "e0", reads_log=False)
        wait_for(self.edge.is_ready, "the router is ready")
        self.requests = 0

    def tearDown(self):
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def ask(self, method, version):
        self.requests += 1
        connection = socket.create_connection(("127.0.0.1", self.edge.caller),
                                              timeout=10)
        connection.sendall(
            f"{method} /write/1 HTTP/{version}\r\nHost: shop.example\r\n"
            f"Attempt-Id: id{self.requests:06}\r\nCredential: key-1\r\n"
            "Deadline-Ms: 3000\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n".encode())
        data = b""
        was_reset = False
        try:
            while part := connection.recv(65536):
                data += part
        except ConnectionResetError:
            was_reset = True
        connection.close()
        return Answer(data, method, was_reset)

    def cut(self, kind, method="POST", version="1.1", step=1):
        """Cuts an answer at each `step`th byte, in an orderly way and by a
        reset."""
        head, body = ANSWERS[kind]
        answer = head + body
        whole = len(answer % {b"id": b"id000000"})
        head_size = whole - len(body)
        for resets in (False, True):
            for size in range(0, whole, step):
                if kind == "unframed" and not resets and size >= head_size:
                    break  # An orderly end is the end of such an answer.
                if method == "HEAD" and size >= head_size:
                    break  # Its answer has no body.
                for target in self.targets:
                    target.answer, target.size = answer, size
                    target.resets = resets
                got = self.ask(method, version)
                where = f"{kind} cut after {size} bytes, reset {resets}"
                self.assertFalse(got.status == 200 and got.is_whole, where)
                self.assertNotEqual(got.status, 503, where + ": it ran")

    # Callers got a 200 with an empty or short body that looked whole (MIXED).
    def test_answers_that_are_cut(self):
        for kind in ANSWERS:
            with self.subTest(kind=kind):
                self.cut(kind)

    def test_answers_to_other_callers_that_are_cut(self):
        self.cut("length", version="1.0", step=7)
        self.cut("chunks", version="1.0", step=7)
        self.cut("unframed", version="1.0", step=7)
        self.cut("length", method="HEAD", step=7)
        self.cut("interim", method="HEAD", step=7)

    def test_whole_answers_arrive(self):
        for kind, (head, body) in ANSWERS.items():
            for target in self.targets:
                target.answer, target.size = head + body, 10000
                target.resets = False
            got = self.ask("POST", "1.1")
            if kind in ("folded", "earlier") and got.status != 200:
                continue  # Such an answer need not be believed.
            self.assertEqual(got.status, 200, kind)
            self.assertTrue(got.is_whole, kind)


if __name__ == "__main__":
    unittest.main()

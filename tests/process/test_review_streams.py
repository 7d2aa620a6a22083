"""Tests of how real connections and processes end while answers are under way:
resets during an upload, targets that restart at once, slow callers."""

import http.client
import os
import socket
import struct
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

EVENTS = 10
CUT_AT = 3  # Last event before an answer breaks off.
UPLOAD_BYTES = 16000000  # More than the socket buffers on the way hold.
LONG_ANSWER_BYTES = 12000000


def events(first, last):
    return b"".join(b"id: %d\ndata: event %d\n\n" % (number, number)
                    for number in range(first, last + 1))


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


class ResettingTarget(standin.Target):
    """Answers without framing before it has read the body, then resets."""

    def __init__(self, store, name):
        super().__init__(store, name, "s")
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def run(self, connection):
        head = b""
        while b"\r\n\r\n" not in head:
            received = connection.recv(1)
            if not received:
                return connection.close()
            head += received
        lines = head.decode().split("\r\n")[1:]
        headers = {name.lower(): value.strip() for name, _, value in
                   (line.partition(":") for line in lines)}
        connection.sendall(self.response_head(headers) + b"\r\n" +
                           events(1, CUT_AT))
        time.sleep(0.3)  # Lets the router read what a reset discards.
        reset(connection)


class FullTarget(standin.Target):
    """Resets connections without an answer when an unframed stream ends."""

    def __init__(self, store, name):
        super().__init__(store, name, "s")
        self.held = []

    def run(self, connection):
        message = standin.read_message(connection.makefile("rb"))
        if message is None:
            return connection.close()
        start, headers, _ = message
        if not start[1].startswith("/stream/"):
            return self.held.append(connection)
        connection.sendall(self.response_head(headers) + b"\r\n" +
                           events(1, EVENTS - 1))
        wait_for(lambda: self.held, "another request is held")
        connection.sendall(events(EVENTS, EVENTS))
        reset(self.held.pop())
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()


class LongTarget(standin.Target):
    def __init__(self, store, name):
        super().__init__(store, name, "s")

    def serve(self, connection, start, headers, body):
        size = int(start[1].rpartition("/")[2])
        connection.sendall(self.response_head(headers) +
                           b"Content-Length: %d\r\n\r\n" % size + b"x" * size)
        return True


class ReviewStreamsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.document = configuration(1)
        self.document["limits"]["max-body-bytes"] = 2 * UPLOAD_BYTES
        self.store.put("op", "config", self.document)
        self.edge = None
        self.requests = 0
        self.addCleanup(self.store.stop)

    def start(self, target_class):
        target = target_class(self.store, "t0")
        self.addCleanup(target.stop)
        self.start_edge()
        return target

    def start_edge(self):
        self.edge = Edge(self.store, "e0")
        self.addCleanup(self.edge.stop)
        wait_for(self.edge.is_ready, "the router is ready")

    def headers(self):
        self.requests += 1
        return {"Host": "shop.example", "Attempt-Id": f"id{self.requests}",
                "Credential": "key-1", "Deadline-Ms": "6000"}

    def ask(self, path, body=b"x"):
        """Returns status, body, and whether the answer looked complete."""
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=20)
        connection.request("POST", path, body, self.headers())
        answer = connection.getresponse()
        try:
            return answer.status, answer.read(), True
        except (http.client.IncompleteRead, OSError) as error:
            return answer.status, getattr(error, "partial", b""), False
        finally:
            connection.close()

    def test_a_reset_that_a_write_meets_first_is_no_whole_answer(self):
        self.start(ResettingTarget)
        status, body, is_complete = self.ask("/stream/once/1",
                                             b"x" * UPLOAD_BYTES)
        self.assertEqual((status, body, is_complete),
                         (200, events(1, CUT_AT), False))

    def test_a_refused_connection_does_not_cut_a_whole_stream(self):
        self.start(FullTarget)
        refused = threading.Thread(target=lambda: self.ask("/write/1"))
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(self.ask("/stream/once/1")))
        for thread in (caller, refused):
            thread.start()
        for thread in (caller, refused):
            thread.join()
        self.assertEqual(answers, [(200, events(1, EVENTS), True)])

    def ask_without_reading(self, size):
        """Returns the connection, and whether the router is done with it."""
        path = f"/write/{size}"
        lines = "".join(f"{name}: {value}\r\n"
                        for name, value in self.headers().items())
        caller = socket.create_connection(("127.0.0.1", self.edge.caller))
        caller.settimeout(20)
        caller.sendall(f"POST {path} HTTP/1.0\r\n{lines}"
                       "Content-Length: 0\r\n\r\n".encode())
        until = time.monotonic() + 0.3
        done = f"id{self.requests}"
        while time.monotonic() < until:
            if any(line["event"] == "request_done" and line["request"] == done
                   for line in self.edge.lines):
                return caller, True
            time.sleep(0.01)
        return caller, False

    def check_answers_that_wait(self, check):
        """Calls `check` with a connection and the size of its answer, of which
        the router is done while its last bytes wait for the caller to read."""
        least, most = 262144, LONG_ANSWER_BYTES
        while most - least > 4096:
            size = (least + most) // 2
            caller, is_done = self.ask_without_reading(size)
            with caller:
                if is_done and most - least < 200000:
                    check(caller, size)
            least, most = (size, most) if is_done else (least, size)

    def check_all_or_reset(self, caller, size):
        received = b""
        try:
            while part := caller.recv(65536):
                received += part
        except ConnectionResetError:
            return
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), size)

    def test_a_caller_of_http_1_0_that_reads_late_gets_all_or_a_reset(self):
        def check(caller, size):
            caller.shutdown(socket.SHUT_WR)
            time.sleep(0.1)
            self.check_all_or_reset(caller, size)
        self.start(LongTarget)
        self.check_answers_that_wait(check)

    def test_a_caller_that_reads_late_gets_no_408_after_its_answer(self):
        def check(caller, size):
            caller.sendall(b"x")
            time.sleep(1.5)
            self.check_all_or_reset(caller, size)
        self.document["limits"]["header-timeout-ms"] = 500
        self.store.put("op", "config", self.document)
        self.start(LongTarget)
        self.check_answers_that_wait(check)


if __name__ == "__main__":
    unittest.main()

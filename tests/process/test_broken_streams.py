"""Tests of streams that broke off, or that the caller asks to continue: the
caller gets each event once and in order, and no stream looks complete that
isn't."""

import http.client
import os
import socket
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, route, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

EVENTS = 10
TEXT = b'{"error": "no such stream"}\n\n'


def event(number):
    return b"id: %d\ndata: event %d\n\n" % (number, number)


class ScriptedTarget(standin.Target):
    """Answers each request by the next step of `script`, which all targets
    share; without one, it sends the rest of the stream.

    A step is (status, pieces, is_whole, headers); `pieces` is a list of bytes,
    each sent as a chunk, and None for the rest of the stream.
    """

    script = []

    def serve(self, connection, start, headers, body):
        if headers.get("expect-runner") != self.name:
            connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        first = int(headers.get("last-event-id", 0)) + 1
        self.runs.append((headers["attempt-id"], first))
        status, pieces, is_whole, extra = (
            self.script.pop(0) if self.script else (200, None, True, b""))
        if pieces is None:
            pieces = [event(n) for n in range(first, EVENTS + 1)]
        connection.sendall(self.response_head(headers, status, extra))
        if status == 204:
            connection.sendall(b"\r\n")
            return True
        connection.sendall(b"Transfer-Encoding: chunked\r\n\r\n")
        connection.sendall(b"".join(b"%x\r\n%s\r\n" % (len(piece), piece)
                                    for piece in pieces))
        if is_whole:
            connection.sendall(b"0\r\n\r\n")
        return is_whole


BROKEN_AFTER_3 = (200, [event(1), event(2), event(3)], False, b"")


class BrokenStreamsTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1, extra=[
            route("/long/", "streaming", resumable=True,
                  **{"max-attempts": 4})]))
        self.targets = [ScriptedTarget(self.store, f"t{i}", "s")
                        for i in range(5)]
        ScriptedTarget.script = []
        self.edge = Edge(self.store, "e0")
        wait_for(self.edge.is_ready, "the router is ready")
        self.requests = 0

    def tearDown(self):
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def ask(self, *script, path="/stream/1", resume_after=None):
        """Returns status, body, and whether the answer looked complete."""
        ScriptedTarget.script = list(script)
        self.requests += 1
        connection = http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                                timeout=20)
        headers = {"Host": "shop.example", "Attempt-Id": f"id{self.requests}",
                   "Credential": "key-1", "Deadline-Ms": "6000"}
        if resume_after is not None:
            headers["Last-Event-Id"] = str(resume_after)
        connection.request("POST", path, b"x", headers)
        answer = connection.getresponse()
        try:
            return answer.status, answer.read(), True
        except (http.client.IncompleteRead, OSError) as error:
            return answer.status, getattr(error, "partial", b""), False
        finally:
            connection.close()

    def assert_whole(self, answer, first=1, name=None):
        status, body, is_complete = answer
        self.assertEqual((status, is_complete), (200, True), name)
        self.assertEqual(body, b"".join(event(n) for n in
                                        range(first, EVENTS + 1)), name)

    def assert_cut(self, answer, first=1, last=3, name=None):
        status, body, is_complete = answer
        self.assertEqual((status, body), (200, b"".join(
            event(n) for n in range(first, last + 1))), name)
        self.assertFalse(is_complete, name)

    def ask_by_http_1_0(self, *script):
        """Returns head and body of the answer, and whether it looked complete:
        its connection ended in an orderly way."""
        ScriptedTarget.script = list(script)
        self.requests += 1
        with socket.create_connection(("127.0.0.1", self.edge.caller),
                                      timeout=20) as connection:
            connection.sendall(
                b"POST /stream/once/1 HTTP/1.0\r\nHost: shop.example\r\n"
                b"Attempt-Id: id%d\r\nCredential: key-1\r\n"
                b"Deadline-Ms: 6000\r\nContent-Length: 1\r\n\r\nx"
                % self.requests)
            data = b""
            try:
                while block := connection.recv(65536):
                    data += block
            except ConnectionResetError:
                return *data.split(b"\r\n\r\n", 1), False
            return *data.split(b"\r\n\r\n", 1), True

    def test_a_cut_stream_never_looks_complete_to_http_1_0(self):
        head, body, is_complete = self.ask_by_http_1_0()
        self.assertNotIn(b"Transfer-Encoding", head)
        self.assertTrue(is_complete)
        self.assertEqual(body, b"".join(event(n)
                                        for n in range(1, EVENTS + 1)))
        _, _, is_complete = self.ask_by_http_1_0(BROKEN_AFTER_3)
        self.assertFalse(is_complete)

    def test_an_error_never_ends_a_begun_stream_as_complete(self):
        for status in (204, 400, 404, 409, 422, 429, 500, 503):
            error = (status, [TEXT], True, b"")
            self.assert_cut(self.ask(BROKEN_AFTER_3, error), name=status)

    def test_an_error_of_a_target_that_ran_it_is_no_promise(self):
        for path in ("/write/1", "/stream/once/1"):
            for status in (408, 429, 503):
                before = sum(len(target.runs) for target in self.targets)
                answer = self.ask((status, [TEXT], True, b""), path=path)
                self.assertEqual(answer, (502, b"", True), status)
                runs = sum(len(target.runs) for target in self.targets)
                self.assertEqual(runs - before, 1)

    def test_text_never_continues_a_begun_stream(self):
        for text in (TEXT, b"error\n\n", b"data: no such stream\n\n"):
            self.assert_cut(self.ask(BROKEN_AFTER_3, (200, [text], True, b"")),
                            name=text)

    def test_a_shorter_run_never_ends_a_begun_stream_as_complete(self):
        self.assert_cut(self.ask(BROKEN_AFTER_3,
                                 (200, [event(1), event(2)], True, b"")))

    def test_a_run_from_the_start_repeats_nothing(self):
        whole = (200, [event(n) for n in range(1, EVENTS + 1)], True, b"")
        self.assert_whole(self.ask(BROKEN_AFTER_3, whole))
        self.assert_whole(self.ask(whole, resume_after=4), first=5)

    def test_a_run_that_skips_events_is_not_passed_on(self):
        late = (200, [event(n) for n in range(7, EVENTS + 1)], True, b"")
        self.assert_whole(self.ask(late, resume_after=4), first=5)
        status, body, _ = self.ask(late, late, resume_after=4)
        self.assertEqual((status, body), (502, b""))
        self.assert_cut(self.ask(BROKEN_AFTER_3, late))

    def test_events_before_a_gap_reach_the_caller(self):
        gap = (200, [event(1) + event(2) + event(4)], False, b"")
        self.assert_whole(self.ask(gap))
        self.assert_cut(self.ask(gap, path="/stream/once/1"), last=2)

    def test_a_stream_goes_on_after_a_gap(self):
        gap = (200, [event(4), event(6)], False, b"")
        self.assert_whole(self.ask(BROKEN_AFTER_3, gap, path="/long/1"))

    def test_every_attempt_of_the_route_is_used(self):
        def broken_at(n):
            return (200, [event(n), event(n + 1)[:9]], False, b"")
        self.assert_whole(self.ask(broken_at(1), broken_at(2), broken_at(3),
                                   path="/long/1"))

    def test_events_without_ids_are_not_sent_twice(self):
        plain = [b"data: event %d\n\n" % n for n in range(1, 4)]
        status, body, is_complete = self.ask((200, plain, False, b""),
                                             (200, plain, True, b""))
        self.assertEqual((status, body), (200, b"".join(plain)))
        self.assertFalse(is_complete)

    def test_comments_do_not_disturb_a_resumed_stream(self):
        rest = [b": resumed\n\n"] + [event(n) for n in range(4, EVENTS + 1)]
        status, body, is_complete = self.ask(BROKEN_AFTER_3,
                                             (200, rest, True, b""))
        self.assertEqual((status, is_complete), (200, True))
        self.assertEqual(body, b"".join(BROKEN_AFTER_3[1] + rest))


if __name__ == "__main__":
    unittest.main()

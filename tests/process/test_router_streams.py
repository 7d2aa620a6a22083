"""Tests of streams through papayaplank_router when targets break off: events
without a gap or a repeat, and complete only with the end mark."""

import os
import re
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import raw_targets as raw  # noqa: E402

TOKENS = 10
WHOLE = raw.tokens(1, TOKENS) + raw.END_MARK
USAGE = b'data: {"usage": {"completion_tokens": 10, "prompt_tokens": 1}}\n\n'
ENDINGS = {"close": raw.close, "reset": raw.reset}


class StreamTest(unittest.TestCase):
    def setUp(self):
        # Many targets: each has its own retry budget and health.
        self.engine = raw.RawTarget(count=60)
        self.service = raw.RawTarget(count=20)
        self.fleet = raw.RawFleet(BUILD, self.engine, self.service)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def ask(self, first, then=None, **headers):
        """Asks for a stream; `first` serves its first attempt, `then` the
        others."""
        def serve(connection, request):
            if self.engine.attempts(request) == 1:
                return first(connection, request)
            return (then or self.resume)(connection, request)
        self.engine.serve = serve
        return raw.ask(self.fleet.routers[0], **headers)

    @staticmethod
    def resume(connection, request):
        """Serves the rest of the stream."""
        rest = raw.tokens(request.resumes_after + 1, TOKENS) + raw.END_MARK
        connection.sendall(raw.stream_head(request) + raw.chunk(rest)
                           + raw.chunk(b""))
        return True

    @staticmethod
    def broken(sent, ending, headers=""):
        """Serves these bytes of a stream and breaks it off."""
        def serve(connection, request):
            data = raw.chunk(sent) if sent else b""
            connection.sendall(raw.stream_head(request, headers) + data)
            ending(connection)
            return False
        return serve

    def attempts(self, answer):
        """The requests that targets got for an answer."""
        return [each for each in self.engine.requests
                if each.id == answer.headers["x-request-id"]]

    def assert_in_order(self, answer):
        """Checks the tokens of an answer, and that only the end mark makes it
        complete."""
        numbers = [int(each) for each in
                   re.findall(rb'"token": (\d+)', answer.body)]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)), answer)
        expected = raw.tokens(1, len(numbers))
        if answer.is_whole:
            expected += raw.END_MARK
        self.assertEqual(answer.body, expected, answer)

    def test_error_after_a_broken_stream_is_never_in_it(self):
        def error(status):
            return lambda connection, request: connection.sendall(
                raw.answer(request, status, b"some text\n\n"))

        def refuse(connection, request):
            connection.sendall(raw.answer(request, 503, b"busy\n\n",
                                          "X-Papayaplank-Ran: no\r\n"))

        def no_content(connection, request):
            connection.sendall(raw.head(request, 204))
        others = {str(status): error(status)
                  for status in (200, 400, 404, 409, 422, 429, 500, 503)}
        others["refusal"] = refuse
        others["204"] = no_content
        sent = {"between": raw.tokens(1, 3), "before": b": ping\n\n",
                "inside": raw.tokens(1, 3) + b'data: {"tok'}
        for ending in ENDINGS:
            for place, data in sent.items():
                for name, other in others.items():
                    with self.subTest(ending=ending, place=place, then=name):
                        answer = self.ask(self.broken(data, ENDINGS[ending]),
                                          other)
                        self.assertGreater(len(self.attempts(answer)), 1)
                        self.assertEqual(answer.status, 200)
                        self.assertFalse(answer.is_whole, answer)
                        self.assertTrue(data.startswith(answer.body), answer)

    def test_resumption_that_fails_is_tried_elsewhere(self):
        def refuse(connection, request):
            connection.sendall(raw.answer(request, 503, b"",
                                          "X-Papayaplank-Ran: no\r\n"))

        def fail(connection, request):
            connection.sendall(raw.answer(request, 500, b"failed"))

        def vanish(connection, _):
            raw.close(connection)
            return False
        for other in (refuse, fail, vanish):
            def then(connection, request, other=other):
                if self.engine.attempts(request) < 4:
                    return other(connection, request)
                return self.resume(connection, request)
            with self.subTest(other=other.__name__):
                answer = self.ask(self.broken(raw.tokens(1, 3), raw.close),
                                  then)
                self.assert_in_order(answer)
                self.assertTrue(answer.is_whole, answer)

    def test_stream_broken_at_the_end_mark_ends_once(self):
        for ending in ENDINGS:
            for sent in (WHOLE, raw.tokens(1, TOKENS), WHOLE[:-1]):
                with self.subTest(ending=ending, sent=sent[-10:]):
                    answer = self.ask(self.broken(sent, ENDINGS[ending]))
                    self.assert_in_order(answer)
                    self.assertTrue(answer.is_whole, answer)
                    self.assertEqual(answer.body, WHOLE)

    def test_bytes_after_the_end_mark_are_not_passed_on(self):
        after = (b"", b"\n", raw.token(1), raw.END_MARK, b"some text\n\n")
        for data in after:
            for is_one_chunk in (True, False):
                def first(connection, request):
                    connection.sendall(raw.stream_head(request))
                    if is_one_chunk:
                        connection.sendall(raw.chunk(WHOLE + data))
                    else:
                        connection.sendall(raw.chunk(WHOLE))
                        time.sleep(0.1)
                        if data:
                            connection.sendall(raw.chunk(data))
                    connection.sendall(raw.chunk(b""))
                    return True
                with self.subTest(data=data, is_one_chunk=is_one_chunk):
                    answer = self.ask(first)
                    self.assertEqual(answer.body, WHOLE)
                    self.assertTrue(answer.is_whole)

    def test_stream_ends_with_its_end_mark(self):
        def first(connection, request):
            connection.sendall(raw.stream_head(request) + raw.chunk(WHOLE))
            time.sleep(5)
            return False
        begin = time.monotonic()
        answer = self.ask(first)
        self.assertEqual(answer.body, WHOLE)
        self.assertTrue(answer.is_whole)
        # Before the progress timeout of the router.
        self.assertLess(time.monotonic() - begin, 1.5)

    def test_orderly_end_without_the_end_mark_is_not_complete(self):
        def short(connection, request):
            last = min(request.resumes_after + 2, TOKENS - 1)
            data = raw.tokens(request.resumes_after + 1, last)
            connection.sendall(raw.stream_head(request)
                               + (raw.chunk(data) if data else b"")
                               + raw.chunk(b""))

        def unframed(connection, request):
            connection.sendall(raw.head(request, 200, raw.EVENT_STREAM)
                               + raw.tokens(1, 3))
            return False

        def with_length(connection, request):
            connection.sendall(raw.answer(request, 200, raw.tokens(1, 3),
                                          raw.EVENT_STREAM))
        for first in (short, unframed, with_length):
            with self.subTest(first=first.__name__):
                answer = self.ask(first, short)
                self.assert_in_order(answer)
                self.assertFalse(answer.is_whole, answer)
                self.assertEqual(self.ask(first).body, WHOLE)

    def test_target_that_starts_elsewhere_is_not_passed_on(self):
        for position in ("", "X-Resume-After-Tokens: 0\r\n",
                         "X-Resume-After-Tokens: 2\r\n",
                         "X-Resume-After-Tokens: 5\r\n"):
            def then(connection, request, position=position):
                begin = re.search(r"\d+", position)
                begin = int(begin.group()) if begin else 0
                data = raw.tokens(begin + 1, TOKENS) + raw.END_MARK
                connection.sendall(
                    raw.stream_head(request, position=position)
                    + raw.chunk(data) + raw.chunk(b""))
                return True
            for ending in ENDINGS:
                with self.subTest(position=position, ending=ending):
                    answer = self.ask(
                        self.broken(raw.tokens(1, 3), ENDINGS[ending]), then)
                    self.assert_in_order(answer)
                    self.assertFalse(answer.is_whole)

    def test_stream_of_another_length_is_passed_on_from_its_position(self):
        for last in (3, 4, 20):
            def then(connection, request, last=last):
                data = raw.tokens(request.resumes_after + 1, last)
                connection.sendall(raw.stream_head(request)
                                   + raw.chunk(data + raw.END_MARK)
                                   + raw.chunk(b""))
            with self.subTest(last=last):
                answer = self.ask(self.broken(raw.tokens(1, 3), raw.close),
                                  then)
                self.assert_in_order(answer)
                self.assertTrue(answer.is_whole)

    def test_events_with_further_fields_count_as_tokens(self):
        def event(form, number):
            return form % number
        forms = (b"id: %d\ndata: token\n\n", b"event: token\ndata: %d\n\n",
                 b"data:%d\n\n", b": note\ndata: %d\n\n",
                 b'data: {"choices": [{"text": "%d"}], "usage": '
                 b'{"completion_tokens": 1}}\n\n')
        for form in forms:
            def events(first, form=form):
                return b"".join(event(form, i)
                                for i in range(first, TOKENS + 1))

            def then(connection, request):
                data = events(request.resumes_after + 1) + raw.END_MARK
                connection.sendall(raw.stream_head(request) + raw.chunk(data)
                                   + raw.chunk(b""))
            with self.subTest(form=form):
                sent = b"".join(event(form, i) for i in range(1, 4))
                answer = self.ask(self.broken(sent, raw.close), then)
                self.assertTrue(answer.is_whole, answer)
                self.assertEqual(answer.body, events(1) + raw.END_MARK)

    def test_usage_is_not_repeated(self):
        def then(connection, request):
            data = raw.tokens(request.resumes_after + 1, TOKENS) + USAGE
            connection.sendall(raw.stream_head(request)
                               + raw.chunk(data + raw.END_MARK)
                               + raw.chunk(b""))
        for ending in ENDINGS:
            with self.subTest(ending=ending):
                answer = self.ask(
                    self.broken(raw.tokens(1, TOKENS) + USAGE,
                                ENDINGS[ending]), then)
                self.assertEqual(answer.body, raw.tokens(1, TOKENS) + USAGE
                                 + raw.END_MARK)
                self.assertTrue(answer.is_whole)

    def test_error_with_events_is_not_continued(self):
        def first(connection, request):
            connection.sendall(
                raw.head(request, 500, raw.EVENT_STREAM + raw.CHUNKED)
                + raw.chunk(b"data: failed\n\n"))
            return False
        answer = self.ask(first)
        self.assertNotIn(b"token", answer.body, answer)
        if answer.status != 200:
            self.assertFalse(answer.is_whole)

    def test_position_of_a_caller_is_not_passed_on(self):
        for position in ("4", "0", "-1", "99999999999999999999", "x"):
            with self.subTest(position=position):
                answer = self.ask(self.resume, X_Resume_After_Tokens=position)
                self.assertNotIn("x-resume-after-tokens",
                                 self.attempts(answer)[0].headers)
                self.assertEqual(answer.body, WHOLE)
                self.assertTrue(answer.is_whole)
                broken = self.ask(self.broken(raw.tokens(1, 3), raw.close),
                                  X_Resume_After_Tokens=position)
                self.assertEqual(
                    [each.resumes_after for each in self.attempts(broken)],
                    [0, 3])
                self.assertEqual(broken.body, WHOLE)
                self.assertNotIn("x-resume-after-tokens", broken.headers)

    def test_slow_caller_gets_each_event_of_a_resumed_stream(self):
        last = 40000  # Far beyond the buffers between target and caller.

        def serve(connection, request):
            first = request.resumes_after + 1
            data = raw.tokens(first, last) + raw.END_MARK
            if self.engine.attempts(request) < 4:
                data = data[:len(data) // 3]
            connection.sendall(raw.stream_head(request) + raw.chunk(data))
            if self.engine.attempts(request) < 4:
                return False
            connection.sendall(raw.chunk(b""))
            return True
        self.engine.serve = serve
        connection = raw.send(self.fleet.routers[0], "/v1/chat/completions",
                              raw.prompt())
        answer = raw.receive(connection, pause=2)
        self.assert_in_order(answer)
        self.assertTrue(answer.is_whole)
        self.assertEqual(answer.body, raw.tokens(1, last) + raw.END_MARK)

    def test_answers_of_services_that_break_off_are_not_complete(self):
        body = b"data: 1\n\ndata: 2\n\n"
        forms = {
            "chunks": (raw.CHUNKED, raw.chunk(body)),
            "unframed": ("", body),
            "identity": ("Transfer-Encoding: identity\r\n", body),
            "length": ("Content-Length: 100\r\n", body),
        }
        for name, (framing, data) in forms.items():
            for kind in (raw.EVENT_STREAM, "Content-Type: text/plain\r\n"):
                for ending in ENDINGS:
                    for path in ("/desk/lookup", "/desk/capture"):
                        def serve(connection, request):
                            connection.sendall(
                                raw.head(request, 200, kind + framing) + data)
                            ENDINGS[ending](connection)
                            return False
                        self.service.serve = serve
                        with self.subTest(framing=name, kind=kind,
                                          ending=ending, path=path):
                            answer = raw.ask(self.fleet.routers[0], path)
                            if answer.status == 502:
                                self.assertEqual(answer.ran, "unknown")
                                continue
                            self.assertFalse(answer.is_whole, answer)
                            self.assertTrue(body.startswith(answer.body))

    def test_length_beside_chunks_does_not_shorten_an_answer(self):
        def serve(connection, request):
            connection.sendall(
                raw.head(request, 200, raw.CHUNKED + "Content-Length: 5\r\n")
                + raw.chunk(b"first ") + raw.chunk(b"second")
                + raw.chunk(b""))
        self.service.serve = serve
        answer = raw.ask(self.fleet.routers[0], "/desk/lookup")
        self.assertEqual((answer.status, answer.body),
                         (200, b"first second"))

    def capture(self, key):
        """Sends a request that must run once; returns its connection."""
        return raw.send(self.fleet.routers[0], "/desk/capture", b"{}",
                        Idempotency_Key=key, customer=raw.CUSTOMERS[0])

    def assert_stored(self, key, body):
        """Checks the stored answer of a request."""
        answer = raw.receive(self.capture(key))
        self.assertEqual(answer.headers.get("x-papayaplank-repeated"), "true",
                         answer)
        self.assertEqual((answer.status, answer.body, answer.is_whole),
                         (200, body, True))

    def test_stored_answer_of_a_caller_that_left_is_whole(self):
        for sent in (b"", WHOLE[:60]):
            def serve(connection, request, sent=sent):
                connection.sendall(raw.stream_head(request)
                                   + (raw.chunk(sent) if sent else b""))
                time.sleep(1)
                connection.sendall(raw.chunk(WHOLE[len(sent):])
                                   + raw.chunk(b""))
            self.service.serve = serve
            with self.subTest(sent=sent):
                key = f"left-{len(sent)}"
                connection = self.capture(key)
                if sent:
                    connection.recv(1000)
                time.sleep(0.1)
                connection.close()
                time.sleep(2.5)
                self.assert_stored(key, WHOLE)

    def test_answer_goes_on_for_a_slow_caller_that_left(self):
        ended = []

        def serve(connection, request):
            body = b"x" * 1000
            connection.sendall(raw.stream_head(request))
            for _ in range(20000):
                connection.sendall(raw.chunk(body))
            connection.sendall(raw.chunk(b""))
            ended.append(request.id)
        self.service.serve = serve
        connection = self.capture("slow")
        connection.recv(1000)
        # The buffers between target and caller are full.
        time.sleep(1)
        self.assertEqual(ended, [])
        connection.close()
        raw.fleets.wait_until(lambda: ended, 10, "the answer has ended")

    def test_stored_answer_that_was_too_long_is_not_complete(self):
        long = raw.tokens(1, 5000) + raw.END_MARK
        self.service.serve = lambda connection, request: connection.sendall(
            raw.stream_head(request) + raw.chunk(long) + raw.chunk(b""))
        first = raw.receive(self.capture("long"))
        self.assertEqual((first.body, first.is_whole), (long, True))
        time.sleep(1)
        again = raw.receive(self.capture("long"))
        self.assertEqual((again.status, again.ran), (409, "yes"), again)
        self.assertNotIn(b"token", again.body)

    def test_cut_answer_looks_cut_to_callers_of_each_version(self):
        for version, headers in (("1.1", {}), ("1.1", {"Connection": "close"}),
                                 ("1.0", {})):
            with self.subTest(version=version, headers=headers):
                answer = self.ask(self.broken(raw.tokens(1, 3), raw.close),
                                  self.broken(b"", raw.close),
                                  version=version, **headers)
                self.assert_in_order(answer)
                self.assertFalse(answer.is_whole, answer)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()

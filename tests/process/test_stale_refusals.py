"""Tests of targets that write an earlier answer once more on a kept connection:
it never decides about the request that follows."""

import array
import fcntl
import http.client
import itertools
import os
import signal
import sys
import termios
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

EVENTS = 10
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
AT_MOST_ONCE = ("/write/1", "/stream/once/1")
REPEATABLE = ("/read/1", "/stream/1")


def refusal(status, request_id=None):
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: 0"]
    if status != 421:
        lines.append(b"Not-Executed: 1")
    if request_id is not None:
        lines.append(b"Attempt-Id: " + request_id.encode())
    return b"\r\n".join(lines) + b"\r\n\r\n"


def other_answer(status, request_id=None, extra=b""):
    lines = [b"HTTP/1.1 %d X" % status, b"Runner-Signature: s"]
    if status >= 200:
        lines.append(b"Content-Length: 5")
    if request_id is not None:
        lines.append(b"Attempt-Id: " + request_id.encode())
    body = b"stale" if status >= 200 else b""
    return b"\r\n".join(lines) + b"\r\n" + extra + b"\r\n" + body


class StaleTarget(standin.Target):
    """Refuses requests and repeats earlier refusals, as `steps` say.

    `steps` is shared by the targets; each request gets and removes the first.
    A request without a step is answered well.
        ("refuse", STATUS, HAS_ID)  refuses the request
        ("refuse_twice", STATUS, HAS_ID)  and once more 50 ms later
        ("repeat", TIMING, HAS_ID)  runs the request, and repeats the earlier
                                    refusal of the connection, if any
        ("write", TIMING, BYTES)    runs the request, and writes these bytes
                                    before the answer
    TIMING is "at_once", "late" (while the request is running) or "pieces".
    """

    run_seconds = 0.15

    def __init__(self, store, name, steps):
        self.steps = steps
        self.refusals = {}  # The last refusal of each connection.
        # Connections that have carried a refusal without an id, and the
        # requests that came on one of them later.
        self.unnamed = set()
        self.later = []
        self.accepted = 0
        self.repeated = 0
        super().__init__(store, name, "s")

    def run(self, connection):
        self.accepted += 1
        super().run(connection)

    def serve(self, connection, start, headers, body):
        self.received.append(headers)
        request_id = headers["attempt-id"]
        if connection in self.unnamed:
            self.later.append(request_id)
        step = self.steps.pop(0) if self.steps else None
        if step is not None and step[0].startswith("refuse"):
            text = refusal(step[1], request_id if step[2] else None)
            if not step[2]:
                self.unnamed.add(connection)
            self.refusals[connection] = (step[1], text)
            connection.sendall(text)
            if step[0] == "refuse_twice":
                time.sleep(0.05)
                self.repeated += 1
                connection.sendall(text)
            return True
        self.runs.append((request_id, int(headers.get("last-event-id", 0))))
        if step is not None:
            self.write_stale(connection, step)
        if start[1].startswith("/stream/"):
            return self.stream(connection, headers, None)
        answer = b"answer to " + request_id.encode()
        connection.sendall(self.response_head(headers) +
                           b"Content-Length: %d\r\n\r\n%s"
                           % (len(answer), answer))
        return True

    def write_stale(self, connection, step):
        text = step[2]
        if step[0] == "repeat":
            if connection not in self.refusals:
                return
            status, text = self.refusals[connection]
            if not step[2]:
                text = refusal(status)
        self.repeated += 1
        if step[1] == "late":
            time.sleep(self.run_seconds)
        if step[1] == "pieces":
            for i in range(0, len(text), 7):
                connection.sendall(text[i:i + 7])
                time.sleep(0.005)
        else:
            connection.sendall(text)
        time.sleep(self.run_seconds)


class StaleRefusalsTest(unittest.TestCase):
    request_ids = itertools.count(1)

    def setUp(self):
        self.store = standin.Store()
        self.store.put("op", "config", configuration(1))
        self.steps = []
        self.targets = [StaleTarget(self.store, f"t{i}", self.steps)
                        for i in range(2)]
        self.edge = Edge(self.store, "e0")
        wait_for(self.edge.is_ready, "the router is ready")
        wait_for(lambda: sum(line["event"] == "target_joined"
                             for line in self.edge.lines) == 2,
                 "both targets have joined")

    def tearDown(self):
        self.edge.stop()
        for server in [self.store, *self.targets]:
            server.stop()

    def connect(self):
        return http.client.HTTPConnection("127.0.0.1", self.edge.caller,
                                          timeout=20)

    def send(self, connection, path, wait_ms=3000):
        request_id = f"id{next(self.request_ids)}"
        connection.request("POST", path, b"x", {
            "Host": "shop.example", "Attempt-Id": request_id,
            "Credential": "key-1", "Deadline-Ms": str(wait_ms)})
        return request_id

    @staticmethod
    def read(connection):
        answer = connection.getresponse()
        try:
            return answer.status, answer.read()
        except http.client.IncompleteRead:
            return 0, b""  # Not complete.

    def ask(self, path):
        """Returns status, request id and body."""
        connection = self.connect()
        request_id = self.send(connection, path)
        status, body = self.read(connection)
        connection.close()
        return status, request_id, body

    def runs(self, request_id):
        return sum(run[0] == request_id
                   for target in self.targets for run in target.runs)

    def repeated(self):
        return sum(target.repeated for target in self.targets)

    def opened(self):
        return sum(target.accepted for target in self.targets)

    def is_good(self, path, answer):
        status, request_id, body = answer
        if path.startswith("/stream/"):
            expected = b"".join(b"id: %d\ndata: event %d\n\n" % (i, i)
                                for i in range(1, EVENTS + 1))
        else:
            expected = b"answer to " + request_id.encode()
        return status == 200 and body == expected

    def check(self, path, answer, case):
        """Checks the answer to a request that a target has run."""
        status, request_id, _ = answer
        if path in AT_MOST_ONCE:
            self.assertLessEqual(self.runs(request_id), 1, case)
            self.assertFalse(status in NOT_EXECUTED_STATUSES and
                             self.runs(request_id) > 0, (case, status))
            self.assertTrue(status != 200 or self.is_good(path, answer), case)
        else:
            if not self.is_good(path, answer):
                self.fail((case, answer, self.lines(request_id)))

    def is_stopped(self):
        with open(f"/proc/{self.edge.process.pid}/stat") as stat:
            return stat.read().rpartition(")")[2].split()[0] == "T"

    @staticmethod
    def is_delivered(connection):
        """Whether the other end's socket has got all that was sent."""
        unacknowledged = array.array("i", [0])
        fcntl.ioctl(connection, termios.TIOCOUTQ, unacknowledged)
        return unacknowledged[0] == 0

    def lines(self, request_id):
        """What the router has logged about a request."""
        time.sleep(0.2)  # The log is read by another thread.
        return [line for line in self.edge.lines
                if line.get("request") == request_id]

    def refuse_at_both(self, status=503, has_id=True, step="refuse"):
        """Both targets get a kept connection that has carried a refusal."""
        before = [len(target.received) for target in self.targets]
        for _ in range(6):
            self.steps[:] = [(step, status, has_id)] * 2
            self.ask("/write/1")
            if all(len(target.received) > count
                   for target, count in zip(self.targets, before)):
                break
        self.steps.clear()
        time.sleep(0.12)  # The targets are not passed over for the refusal.

    def check_repeats(self, paths, refused_with_id, repeated_with_id):
        """Returns how many refusals the targets have repeated."""
        before = self.repeated()
        for path, status, timing in itertools.product(
                paths, (503, 421, 429, 400), ("at_once", "late", "pieces")):
            case = (path, status, timing, refused_with_id, repeated_with_id)
            self.refuse_at_both(status, refused_with_id)
            self.steps[:] = [("repeat", timing, repeated_with_id)]
            self.check(path, self.ask(path), case)
        return self.repeated() - before

    def test_with_the_id_of_another_request(self):
        self.assertGreater(self.check_repeats(AT_MOST_ONCE, True, True), 0)

    def test_with_the_id_of_another_request_repeatable(self):
        self.assertGreater(self.check_repeats(REPEATABLE, True, True), 0)

    def test_without_an_id(self):
        self.check_repeats(AT_MOST_ONCE, False, False)

    def test_without_an_id_repeatable(self):
        self.check_repeats(REPEATABLE, False, False)

    def test_without_its_id(self):
        self.assertGreater(self.check_repeats(AT_MOST_ONCE, True, False), 0)

    def test_without_its_id_repeatable(self):
        self.assertGreater(self.check_repeats(REPEATABLE, True, False), 0)

    def test_without_an_id_at_both_targets(self):
        # A refusal that may be an earlier one was believed for requests that
        # may be repeated: callers got 503 while a target ran their request.
        for path, status, timing, has_id in itertools.product(
                AT_MOST_ONCE + REPEATABLE, (503, 429), ("at_once", "pieces"),
                (True, False)):
            case = (path, status, timing, has_id)
            self.refuse_at_both(status, has_id)
            self.steps[:] = [("repeat", timing, False)] * 2
            answer, request_id, _ = self.ask(path)
            self.steps.clear()
            self.assertFalse(
                answer in NOT_EXECUTED_STATUSES and self.runs(request_id) > 0,
                (case, answer, self.runs(request_id), self.lines(request_id)))

    def test_after_the_answer_that_it_repeats(self):
        for path, status, has_id in itertools.product(
                AT_MOST_ONCE + REPEATABLE, (503, 421), (True, False)):
            self.refuse_at_both(status, has_id, "refuse_twice")
            self.check(path, self.ask(path), (path, status, has_id))

    def test_bytes_that_arrive_before_the_request_is_written(self):
        for path, has_id in itertools.product(AT_MOST_ONCE + REPEATABLE,
                                              (True, False)):
            connection = self.connect()
            self.send(connection, "/read/1")
            self.read(connection)
            self.refuse_at_both(has_id=has_id)
            self.steps[:] = [("write", "late", b"")] * 2
            # The router finds the request first, then the stale bytes.
            os.kill(self.edge.process.pid, signal.SIGSTOP)
            wait_for(self.is_stopped, "the router is stopped")
            request_id = self.send(connection, path)
            wait_for(lambda: self.is_delivered(connection.sock),
                     "the request is delivered")
            for target in self.targets:
                for kept, (_, text) in list(target.refusals.items()):
                    try:
                        kept.sendall(text)
                        wait_for(lambda: self.is_delivered(kept),
                                 "the stale bytes are delivered")
                    except (OSError, ValueError):
                        pass  # The router has closed it.
            os.kill(self.edge.process.pid, signal.SIGCONT)
            status, body = self.read(connection)
            connection.close()
            answer = (status, request_id, body)
            self.check(path, answer, (path, has_id))
            self.assertTrue(self.is_good(path, answer), (path, has_id, answer))

    def test_several_in_series(self):
        for path in AT_MOST_ONCE + REPEATABLE:
            for i in range(12):
                timing = ("at_once", "late", "pieces")[i % 3]
                if i % 4 == 0:
                    self.refuse_at_both(503, i % 8 == 0)
                # Two thirds of the requests meet a stale refusal.
                if i % 3 != 2:
                    self.steps[:] = [("repeat", timing, i % 2 == 0)]
                self.check(path, self.ask(path), (path, i))
                self.steps.clear()

    def test_other_stale_answers(self):
        stale = [other_answer(status, request_id) for status in (200, 404, 500)
                 for request_id in ("other", None)]
        for path, text, timing in itertools.product(
                AT_MOST_ONCE + REPEATABLE, stale, ("at_once", "late")):
            self.steps[:] = [("write", timing, text)]
            answer = self.ask(path)
            self.check(path, answer, (path, text, timing))
            self.assertNotIn(b"stale", answer[2])

    def test_an_interim_answer_is_not_the_answer(self):
        for path, status, request_id in itertools.product(
                AT_MOST_ONCE + REPEATABLE, (100, 102, 103), ("other", None)):
            self.steps[:] = [("write", "late",
                              other_answer(status, request_id,
                                           b"Not-Executed: 1\r\n"))]
            answer = self.ask(path)
            self.check(path, answer, (path, status, request_id))
            self.assertTrue(self.is_good(path, answer),
                            (path, status, request_id, answer))

    def test_the_answer_after_one_to_another_request_is_relayed(self):
        for path, status in itertools.product(AT_MOST_ONCE,
                                              (503, 421, 200, 500)):
            text = (refusal(status, "other") if status in (503, 421)
                    else other_answer(status, "other"))
            self.steps[:] = [("write", "late", text * 2)]
            answer = self.ask(path)
            self.check(path, answer, (path, status))
            self.assertTrue(self.is_good(path, answer), (path, status, answer))

    def test_a_limit_in_a_stale_refusal_is_not_believed(self):
        self.steps[:] = [("write", "at_once",
                          refusal(503, "other")[:-2] +
                          b"Server-Limit: 0.001\r\n\r\n")] * 2
        for _ in range(2):
            self.ask("/write/1")
        time.sleep(0.3)
        for _ in range(6):
            self.assertTrue(self.is_good("/write/1", self.ask("/write/1")))

    def test_refusals_that_name_their_request_cost_no_connections(self):
        self.refuse_at_both()
        before = self.opened()
        for _ in range(20):
            self.steps[:] = [("refuse", 503, True)] * 2
            self.assertEqual(self.ask("/write/1")[0], 503)
            self.steps.clear()
        self.assertEqual(self.opened() - before, 0)

    def test_refusals_without_an_id_end_their_connections(self):
        for _ in range(10):
            for path in ("/read/1", "/write/1"):
                before = self.opened()
                self.steps[:] = [("refuse", 503, False)] * 2
                self.assertEqual(self.ask(path)[0], 503)
                self.steps.clear()
                self.assertLessEqual(self.opened() - before, 2)
        for path in AT_MOST_ONCE + REPEATABLE:
            self.assertTrue(self.is_good(path, self.ask(path)), path)
        self.assertEqual([target.later for target in self.targets], [[], []])

    def test_true_refusals_without_an_id_are_believed(self):
        for _ in range(6):
            self.steps[:] = [("refuse", 503, False)] * 2
            self.assertEqual(self.ask("/write/1")[0], 503)
            self.steps[:] = [("refuse", 503, False)]
            self.assertTrue(self.is_good("/write/1", self.ask("/write/1")))


if __name__ == "__main__":
    unittest.main()

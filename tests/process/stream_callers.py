"""Callers with raw sockets, which check every byte of their answers."""

import functools
import json
import random
import re
import select
import socket
import struct
import threading
import time

import stream_target

CALL_TIMEOUT = 9  # Seconds without a byte after which a caller gives up.
TRIES = 6  # Attempts for one stream.
# Statuses which promise that the request has not run and never will.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
KEEP_SHARE = 0.7  # Of the callers' requests, over a kept connection.
LONG_STALL = 4.5  # Seconds; longer than a lost caller stays unnoticed.
STALL_SHARE = 0.05  # Of the callers' requests, whose answers wait to be read.


class Answer:
    """What a caller has read of one answer; the status is None without one."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole_chunks = 0  # Bytes of the body in chunks that are whole.
        self.is_complete = False
        self.raw = b""


class RawConnection:
    def __init__(self, port, is_slow):
        self.socket = socket.socket()
        if is_slow:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.socket.settimeout(CALL_TIMEOUT)
        self.socket.connect(("127.0.0.1", port))
        self.is_slow = is_slow
        self.slow_reads = 60 if is_slow else 0
        self.unread = b""
        self.answer = None

    def late_bytes(self):
        """Bytes that arrived while no request was waiting."""
        if not self.unread and select.select([self.socket], [], [], 0)[0]:
            try:
                self.unread = self.socket.recv(65536)
            except OSError:
                return b""
        return self.unread

    def receive(self):
        if self.slow_reads > 0:
            self.slow_reads -= 1
            time.sleep(0.01)
        block = self.socket.recv(512 if self.slow_reads > 0 else 65536)
        if not block:
            raise ConnectionError("closed")
        self.unread += block
        self.answer.raw += block

    def take(self, size):
        while len(self.unread) < size:
            self.receive()
        taken, self.unread = self.unread[:size], self.unread[size:]
        return taken

    def take_line(self):
        while b"\r\n" not in self.unread:
            self.receive()
        line, _, self.unread = self.unread.partition(b"\r\n")
        return line

    def take_into_body(self, size, most):
        """Adds to the body as bytes arrive; false if the caller has enough."""
        while size:
            if not self.unread:
                self.receive()
            block = self.take(min(size, len(self.unread)))
            self.answer.body += block
            size -= len(block)
            if most is not None and len(self.answer.body) >= most:
                return False
        return True

    def ask(self, request, most, before_reading):
        """Sends a request and reads its answer, at most `most` bytes of it."""
        self.answer = answer = Answer()
        try:
            self.socket.sendall(request)
            before_reading()
            self.read(answer, most)
        except (OSError, ValueError):
            pass
        return answer

    def read(self, answer, most):
        status = int(self.take_line().split()[1])
        for line in iter(self.take_line, b""):
            name, _, value = line.decode().partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        answer.status = status
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.is_complete = self.take_into_body(size, most)
            return
        while True:
            size = int(self.take_line(), 16)
            if not self.take_into_body(size, most):
                return
            if self.take(2) != b"\r\n":
                raise ValueError("a chunk without its end")
            answer.whole_chunks = len(answer.body)
            if size == 0:
                answer.is_complete = True
                return

    def close(self, with_reset=False):
        if with_reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   struct.pack("ii", 1, 0))
        self.socket.close()


class Stream:
    """One stream over all its answers, or one plain request."""

    def __init__(self, path, plans):
        self.path = path
        self.plans = plans
        self.attempts = []  # (id, Last-Event-Id, Answer) of each.
        self.last = 0  # Last event that the caller has got.
        self.is_whole = False
        self.violations = []  # (class, what was seen).

    @property
    def runs_once(self):
        return self.path.startswith(("/stream/once/", "/write/"))

    def report(self, kind, text):
        self.violations.append((kind, f"{self.attempts[-1][0]}: {text}"))

    def check(self, attempt, answer):
        """Checks one answer and takes its events."""
        if answer.status is None:
            return
        answered = answer.headers.get("attempt-id")
        if answered not in (attempt, None):
            self.report("another's answer", f"got an answer of {answered}")
        if answer.status != 200:
            return
        if "runner-signature" not in answer.headers:
            self.report("unsigned success", "no signature")
        if self.path.startswith("/s"):
            return self.check_events(answer)
        whole = stream_target.plain_body(self.path)
        if answer.is_complete and answer.body != whole:
            self.report("cut as complete", f"{len(answer.body)} of "
                        f"{len(whole)} bytes of a plain answer")
        elif not whole.startswith(answer.body):
            self.report("foreign bytes", repr(answer.body[-80:]))

    def check_events(self, answer):
        text = answer.body.decode(errors="replace").replace("\r\n", "\n")
        blocks = re.split("\n\n+", text.removesuffix("\r"))
        rest = blocks.pop()
        for block in blocks:
            self.check_event(block + "\n")
        # Only a chunk that was broken off may end within an event.
        is_partial = len(answer.body) > answer.whole_chunks
        expected = "\n".join(
            stream_target.event_lines(self.path, self.last + 1)) + "\n"
        if rest and not is_partial:
            self.report("partial event", repr(rest[:80]))
        elif not (expected.startswith(rest) or
                  f": idle {self.path}\n".startswith(rest)):
            self.report("foreign bytes", repr(rest[:80]))
        if not answer.is_complete:
            return
        self.is_whole = True
        total = stream_target.total_events(self.path)
        if self.last != total:
            self.report("cut as complete", f"event {self.last} of {total}")

    def check_event(self, block):
        if all(line.startswith(":") for line in block.split("\n")[:-1]):
            if block != f": idle {self.path}\n":
                self.report("foreign bytes", repr(block[:80]))
            return
        number = re.search("^id: ?([0-9]+)$", block, re.MULTILINE)
        number = int(number.group(1)) if number else 0
        if not 1 <= number <= stream_target.total_events(self.path) or (
                block != "\n".join(stream_target.event_lines(
                    self.path, number)) + "\n"):
            return self.report("foreign bytes", repr(block[:80]))
        if number != self.last + 1:
            self.report("gap" if number > self.last else "step back",
                        f"event {number} after {self.last}")
        self.last = number

    def check_runs(self, runs):
        """Checks the answers against the runs that targets recorded."""
        for attempt, _, answer in self.attempts:
            own = [run for run in runs if run["attempt"] == attempt]
            ran = [run for run in own if run["ran"]]
            if len(ran) > 1 and self.runs_once:
                self.report("ran twice", f"{len(ran)} runs of {attempt}")
            if answer.status in NOT_EXECUTED_STATUSES and ran:
                self.report("refused though it ran",
                            f"{answer.status} for {attempt}, {ran}")
            if "runner-signature" in answer.headers and answer.status not in [
                    run["status"] for run in own]:
                self.report("bad failure", f"{answer.status} for {attempt}, "
                            f"signed; {own}")
        self.excuse(runs)

    def excuse(self, runs):
        # An answer without framing whose target closes its connection between
        # two events and lives on is complete by the protocol.
        last_runs = {run["attempt"]: run for run in runs if run["ran"]}
        for attempt, run in last_runs.items():
            plan = self.plans[run["plan"]]
            _, part, how = plan.get("cut") or (0, 0, None)
            is_between = part == 0 or not self.path.startswith("/s")
            if (plan.get("framing") == "closed" and is_between and
                    how in ("fin", "ragged")):
                self.violations = [
                    (kind, what) for kind, what in self.violations
                    if kind != "cut as complete" or
                    not what.startswith(attempt + ":")]


class Caller(threading.Thread):
    """Asks for one stream after another.

    `choose_router` returns the port of a router, another one than its argument
    if possible; `is_over` says when to ask for no further stream.
    """

    def __init__(self, name, seed, choose_router, draw_stream, is_over,
                 host="shop.example"):
        super().__init__(daemon=True)
        self.caller_name = name
        self.random = random.Random(seed)
        self.choose_router = choose_router
        self.draw_stream = draw_stream
        self.is_over = is_over
        self.host = host
        self.streams = []
        self.connection = None
        self.port = None

    def run(self):
        while not self.is_over():
            stream = self.draw_stream(
                self.random, f"{self.caller_name}.{len(self.streams)}")
            self.streams.append(stream)
            self.ask_for(stream)
            time.sleep(self.random.uniform(0, 0.02))
        self.disconnect()

    def connect(self):
        """Connects to a router, to a new one after a failure."""
        until = time.monotonic() + CALL_TIMEOUT
        while self.connection is None and time.monotonic() < until:
            self.port = self.choose_router(self.random, self.port)
            try:
                self.connection = RawConnection(self.port,
                                                self.random.random() < 0.25)
            except OSError:
                time.sleep(0.05)
        return self.connection is not None

    def disconnect(self):
        if self.connection is not None:
            self.connection.close(self.random.random() < 0.3)
        self.connection = None

    def ask_for(self, stream):
        for number in range(TRIES):
            if self.random.random() > KEEP_SHARE:
                self.disconnect()
            if not self.connect():
                return
            most = None
            if self.random.random() < 0.08:
                most = self.random.choice((1, 100, 3000))
            attempt = f"{stream.path[1:].replace('/', '-')}.{number}"
            stall = 0
            if self.random.random() < STALL_SHARE:
                stall = self.random.uniform(0.3, 1.5)
                if stall > 1.4:
                    stall = LONG_STALL
            answer = self.exchange(stream, attempt, most,
                                   functools.partial(time.sleep, stall))
            if answer is None:
                return
            was_refused = answer.status in NOT_EXECUTED_STATUSES
            if stream.is_whole or answer.is_complete and not was_refused:
                return
            if stream.runs_once and not was_refused:
                return
            time.sleep(self.random.uniform(0, 0.1))

    def exchange(self, stream, attempt, most, before_reading):
        late = self.connection.late_bytes()
        if late or not self.is_open():
            self.disconnect()
            if not self.connect():
                return None
        body = b"x" * self.random.choice((0, 5, 5000))
        framing = f"Content-Length: {len(body)}"
        if body and self.random.random() < 0.2:
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            framing = "Transfer-Encoding: chunked"
        resume = f"Last-Event-Id: {stream.last}\r\n" if stream.last else ""
        if self.random.random() < 0.1:
            framing += "\r\nConnection: close"
        request = (f"POST {stream.path} HTTP/1.1\r\nHost: {self.host}\r\n"
                   f"Attempt-Id: {attempt}\r\nCredential: key-1\r\n"
                   f"Deadline-Ms: 6000\r\nPlan: {json.dumps(stream.plans)}\r\n"
                   f"{resume}{framing}\r\n\r\n").encode()
        answer = self.connection.ask(request + body, most, before_reading)
        stream.attempts.append((attempt, stream.last, answer))
        if late:
            stream.report("late bytes", repr(late[:80]))
        stream.check(attempt, answer)
        if (not answer.is_complete
                or answer.headers.get("connection") == "close"):
            self.disconnect()
        return answer

    def is_open(self):
        """Whether the router has not closed the kept connection."""
        return not select.select([self.connection.socket], [], [], 0)[0]

"""A target as a process of its own, whose answers break as requests ask.

    stream_target.py NAME PORT RECORDS

Requests carry a list of plans in the header `Plan`; the n-th run of a path
follows the n-th plan, the last one if there are fewer. RECORDS is a folder with
a file for each path; a run is appended to it before its first byte is sent, so
the records outlive the process. Keys of a plan, all optional:
    framing   "chunked", "length" or "closed" (ends with its connection)
    line_end  "lf", "crlf" or "mixed"
    seed, ms  how bytes are split into segments; duration of the stream
    cut       [n, part, how]: ends before event n of the run (part 0) or within
              it, by "fin", "reset", "crash" (the process ends) or "ragged" (fin
              within the framing, if there is one)
    first     "one" (starts at event 1), "few" (sends only events before the
              one asked for), "skip" or "back" (one event later or earlier)
    hole      leaves out the n-th event of the run
    again     sends the n-th event of the run twice
    text      a success without events: "plain", "block" or "head"
    status    answers with an error; `refuses`: without a run; `no_id`
    stale     first writes the last refusal of the connection: "id" or "bare"
    extra     sends an unrequested answer afterwards
    leaves    closes the connection after a whole answer
"""

import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import threading
import time

LEAVE_SECONDS = 1  # From SIGTERM until the process exits with its last answer,
LATEST_EXIT_SECONDS = 2  # and until it exits whatever it is sending.
EXIT_PLANNED, EXIT_FORCED = 0, 3
MAX_SEGMENTS = 60
TEXTS = {"plain": b"upstream failed, try again later\n",
         "block": b"internal error: worker lost\n\n",
         "head": b"HTTP/1.1 500 Internal Server Error\r\n"
                 b"Content-Type: text/plain\r\n\r\nout of memory"}


def total_events(path):
    """Number of events of the stream at a path such as "/s/7-20" or "-20L"."""
    return int(path.rpartition("-")[2].rstrip("L"))


def event_lines(path, number):
    """Lines of an event; anyone who knows path and number can tell them."""
    generator = random.Random(f"{path} {number}")
    size = 6000 if path.endswith("L") else 30
    lines = [generator.choice(("id: ", "id: ", "id: ", "id:")) + str(number)]
    for token in range(generator.choice((1, 1, 1, 2, 6))):
        text = generator.choice(("x", "x", "x", "id: 7", "data: x"))
        lines.append(f"data: {path} {number}.{token} "
                     + text * (generator.randrange(size) // len(text)))
    if generator.random() < 0.05:
        lines.append("data: id: 1")
    if generator.random() < 0.05:
        lines.append("data")  # A line of the data that is empty.
    if generator.random() < 0.2:
        lines.append(lines.pop(0))  # The id may come last.
    if generator.random() < 0.2:
        lines.insert(generator.randrange(len(lines) + 1), f": note of {path}")
    if generator.random() < 0.2:
        lines.insert(0, "event: token")
    if generator.random() < 0.1:
        lines.insert(0, "weight-versions: 3")
    return lines


def encode_event(path, number, line_end, generator):
    ends = {"lf": ("\n",), "crlf": ("\r\n",), "mixed": ("\n", "\r\n")}[line_end]
    lines = [*event_lines(path, number), ""]
    if generator.random() < 0.05:
        lines = [f": idle {path}", "", *lines]  # A comment between events.
    return "".join(line + generator.choice(ends) for line in lines).encode()


def plain_body(path):
    generator = random.Random(path)
    return f"answer to {path} ".encode() * generator.choice((1, 40, 20000))


class Connection:
    """One connection of a router: requests one after another."""

    def __init__(self, target, peer):
        self.target = target
        self.socket = peer
        self.refusal = None  # Last refusal and the id that it was for.
        self.is_open = True

    def run(self):
        try:
            with self.socket, self.socket.makefile("rb") as stream:
                self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY,
                                       1)
                while self.is_open and self.serve(stream):
                    pass
        except OSError:
            pass  # The router closed first.

    def serve(self, stream):
        line = stream.readline()
        if not line:
            return False
        headers = {}
        for header in iter(stream.readline, b"\r\n"):
            if not header:
                return False
            name, _, value = header.decode().partition(":")
            headers[name.strip().lower()] = value.strip()
        stream.read(int(headers.get("content-length", 0)))
        self.id = headers["attempt-id"]
        if headers.get("expect-runner") != self.target.name:
            self.send_answer(421, b"", self.head_lines(signed=False))
            return True
        with self.target.answering():
            self.answer(line.split()[1].decode(), headers)
        return self.is_open

    def head_lines(self, signed=True, with_id=True):
        return ((f"Attempt-Id: {self.id}\r\n" if with_id else "")
                + ("Runner-Signature: s\r\n" if signed else "")
                + ("Connection: close\r\n" if self.target.is_leaving else ""))

    def send_answer(self, status, body, lines):
        self.socket.sendall(
            f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n"
            "\r\n".encode() + body)

    def answer(self, path, headers):
        last = int(headers.get("last-event-id", 0))
        plan, number = self.target.choose_plan(path, headers)
        is_refusal = bool(plan.get("refuses"))
        status = plan.get("status", 200)
        self.target.record(path, {
            "attempt": self.id, "last": last, "plan": number, "status": status,
            "ran": not is_refusal, "target": self.target.name,
            "pid": os.getpid(), "at": time.time()})
        stale = plan.get("stale")
        if stale and self.refusal:
            refusal, old_id = self.refusal
            extra = f"Attempt-Id: {old_id}\r\n" if stale == "id" else ""
            self.socket.sendall(refusal.replace(b"%ID%", extra.encode()))
        if status != 200:
            return self.send_error(status, plan)
        if not path.startswith("/s"):
            return self.send(plan, path, [plain_body(path)])
        if plan.get("text") and last:
            return self.send(plan, path, [TEXTS[plan["text"]]])
        total = total_events(path)
        rest = range(last + 1, total + 1)
        # What ends before its last event without a gap is complete by the
        # protocol, and a router cannot know the first id of a stream.
        numbers = list({"one": range(1, total + 1),
                        "few": range(1, last) or rest,
                        "skip": last and range(last + 2, total + 1) or rest,
                        "back": range(max(1, last - 1), total + 1)
                        }.get(plan.get("first"), rest))
        if plan.get("hole") in range(0 if last else 1, len(numbers) - 1):
            del numbers[plan["hole"]]
        if plan.get("again") in range(len(numbers)):
            numbers.insert(plan["again"], numbers[plan["again"]])
        generator = random.Random(plan.get("seed"))
        self.send(plan, path, [
            encode_event(path, number, plan.get("line_end", "lf"), generator)
            for number in numbers])

    def send_error(self, status, plan):
        if plan.get("refuses"):
            head = (f"HTTP/1.1 {status} X\r\nNot-Executed: 1\r\n%ID%"
                    "Content-Length: 0\r\n\r\n").encode()
            self.refusal = head, self.id
            lines = "" if plan.get("no_id") else f"Attempt-Id: {self.id}\r\n"
            self.socket.sendall(head.replace(b"%ID%", lines.encode()))
            return
        body = b"" if status == 204 else f"failed with {status}\n".encode()
        self.send_answer(status, body, self.head_lines())

    def send(self, plan, path, pieces):
        """Sends a success with a body of these pieces."""
        framing = plan.get("framing", "chunked")
        generator = random.Random(plan.get("seed"))
        kind = "text/event-stream" if path.startswith("/s") else "text/plain"
        lines = self.head_lines() + f"Content-Type: {kind}\r\n"
        if framing == "chunked":
            lines += "Transfer-Encoding: chunked\r\n"
        if framing == "length":
            lines += f"Content-Length: {sum(map(len, pieces))}\r\n"
        index, part, how = plan.get("cut") or (len(pieces), 0, None)
        body = b"".join(pieces[:index])
        if part and index < len(pieces):
            size = len(pieces[index])
            body += pieces[index][:min(size - 1, max(1, int(part * size)))]
        if framing == "chunked":
            body = self.frame(body, generator)
            if how == "ragged":
                body += b"1f\r" if generator.random() < 0.5 else b"1f\r\n"
            elif how is None:
                body += b"0\r\n\r\n"
        self.send_segments(f"HTTP/1.1 200 X\r\n{lines}\r\n".encode() + body,
                           plan.get("ms", 0) / 1000, generator)
        if how:
            return self.break_off(how)
        if plan.get("extra") and framing != "closed":
            time.sleep(generator.choice((0, 0.02)))
            self.id = "late"
            self.send_answer(200, b"late", self.head_lines())
        self.is_open = framing != "closed" and not plan.get("leaves")

    @staticmethod
    def frame(body, generator):
        """Cuts a body into chunks, wherever its events end."""
        framed = []
        largest = generator.choice((2, 300, 5000, 100000))
        while body:
            size = generator.randint(1, largest) if len(body) < 20000 else 16384
            framed.append(b"%x\r\n%s\r\n" % (len(body[:size]), body[:size]))
            body = body[size:]
        return b"".join(framed)

    def send_segments(self, data, seconds, generator):
        count = min(len(data), generator.choice((1, 4, 20, MAX_SEGMENTS)))
        ends = sorted(generator.sample(range(1, len(data) + 1), count))
        start = 0
        for end in [*ends, len(data)]:
            self.socket.sendall(data[start:end])
            start = end
            time.sleep(seconds / count)

    def break_off(self, how):
        self.is_open = False
        if how == "crash":
            os.kill(os.getpid(), signal.SIGKILL)
        if how == "reset":
            time.sleep(0.02)  # Lets the router read what a reset discards.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   struct.pack("ii", 1, 0))


class Target:
    def __init__(self, name, port, records):
        self.name = name
        self.records = records
        self.is_leaving = False
        self.may_exit = False
        self.answers = 0  # In progress.
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", port), backlog=256)
        signal.signal(signal.SIGTERM, self.leave)

    def leave(self, *_):
        self.is_leaving = True
        threading.Timer(LEAVE_SECONDS, self.exit_when_idle).start()
        threading.Timer(LATEST_EXIT_SECONDS, os._exit, (EXIT_FORCED,)).start()

    def exit_when_idle(self):
        with self.lock:
            self.may_exit = True
            if self.answers == 0:
                os._exit(EXIT_PLANNED)

    @contextlib.contextmanager
    def answering(self):
        with self.lock:
            self.answers += 1
        try:
            yield
        finally:
            with self.lock:
                self.answers -= 1
                if self.may_exit and self.answers == 0:
                    os._exit(EXIT_PLANNED)

    def record_path(self, path):
        return os.path.join(self.records, path.replace("/", "_"))

    def choose_plan(self, path, headers):
        """Returns the plan for the next run of a path, and its number."""
        plans = json.loads(headers.get("plan", "[{}]"))
        number = 0
        if os.path.exists(self.record_path(path)):
            with open(self.record_path(path), "rb") as file:
                number = file.read().count(b"\n")
        number = min(number, len(plans) - 1)
        return plans[number], number

    def record(self, path, run):
        file = os.open(self.record_path(path),
                       os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        os.write(file, json.dumps(run).encode() + b"\n")
        os.close(file)

    @staticmethod
    def end_with_parent():
        sys.stdin.read()
        os._exit(1)

    def run(self):
        threading.Thread(target=self.end_with_parent, daemon=True).start()
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=Connection(self, peer).run,
                             daemon=True).start()


if __name__ == "__main__":
    Target(sys.argv[1], int(sys.argv[2]), sys.argv[3]).run()

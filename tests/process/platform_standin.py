"""Stand-ins for the platform of papayaplank_edge: its store, and targets.

Each test sets the faults that they inject.
"""

import base64
import json
import socket
import threading
import time
import urllib.parse


def read_message(stream):
    """Returns start line, headers and body of one message, or None."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = stream.readline()
        if header in (b"\r\n", b""):
            break
        name, _, value = header.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return line.decode().split(), headers, body


class Server:
    """Accepts connections and runs each on a thread.

    Subclasses define `serve`, which answers one message and returns whether the
    connection stays open.
    """

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(connection)
            threading.Thread(target=self.run, args=(connection,),
                             daemon=True).start()

    def run(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                while True:
                    message = read_message(stream)
                    if message is None or not self.serve(connection, *message):
                        return
        except OSError:
            pass  # The peer closed first.
        finally:
            self.connections.discard(connection)

    def stop(self):
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It was closed already.


class EncodedValue(str):
    """A row's value as it stands in the store's answers."""


class Store(Server):
    """The platform's store: versioned rows, reads and long-polled feeds.

    It is not the table service of papayaplank_router.

    `fault` is None, "busy" (answers 503), "silent" (does not answer), "reset"
    (closes the connection) or "endless" (a body that never ends).
    `lost_watch` is what a feed from a version that the store doesn't have gets:
    "refused" (410), "empty" (at once, without rows) or "waiting" (as any other).
    """

    page_rows = 500       # Most rows in an answer,
    page_bytes = 1 << 20  # and most bytes of their values.

    def __init__(self):
        self.rows = {}
        self.empty_page_tables = set()  # Listed as cut short, without rows.
        self.rejects_writes = False     # Answers them 503.
        self.version = 0
        self.era = None  # Stated in each answer, unless it is None.
        self.lost_watch = "refused"
        self.ignores_wait = False  # Feeds are answered at once.
        self.changed = threading.Condition()
        self.fault = None
        self.calls = 0
        self.list_times = {}  # When each table was listed.
        self.read_times = []  # When each call to read came.
        self.endless_bytes = 0
        super().__init__()

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (value, self.version)
            self.changed.notify_all()

    def remove(self, table, key):
        with self.changed:
            self.version += 1
            self.rows[(table, key)] = (None, self.version)
            self.changed.notify_all()

    def select_rows(self, table, after=0, with_removed=False):
        rows = []
        for (name, key), (value, version) in sorted(self.rows.items()):
            if name != table or version <= after:
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            if isinstance(value, EncodedValue):
                row["value"] = value
            elif value is not None:
                text = value if isinstance(value, str) else json.dumps(value)
                row["value"] = base64.b64encode(text.encode()).decode()
            elif with_removed:
                row["removed"] = True
            else:
                continue
            rows.append(row)
        return rows

    def first_page(self, table, rows):
        if table in self.empty_page_tables:
            return []
        size = 0
        for count, row in enumerate(rows[:self.page_rows]):
            size += len(row["value"])
            if count > 0 and size > self.page_bytes:
                return rows[:count]
        return rows[:self.page_rows]

    def serve(self, connection, start, headers, body):
        self.calls += 1
        era = self.era
        if self.fault == "silent":
            time.sleep(3600)
        if self.fault == "reset":
            return False
        if self.fault == "busy":
            return self.answer(connection, 503, {})
        if self.fault == "endless":
            return self.send_endlessly(connection)
        path, _, query = start[1].partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-tx":
            if self.rejects_writes:
                return self.answer(connection, 503, {})
            for row in json.loads(body)["writes"]:
                value = base64.b64decode(row["value"]).decode()
                self.put(row["table"], row["key"], value)
            for row in json.loads(body)["remove"]:
                self.remove(row["table"], row["key"])
            return self.answer(connection, 200, {"ver": self.version})
        self.read_times.append(time.monotonic())
        if path == "/v1/rows-get":
            self.list_times.setdefault(query["table"], []).append(
                time.monotonic())
            with self.changed:
                rows = [row for row in self.select_rows(query["table"])
                        if row["key"] >= query.get("from", "") and
                        ("to" not in query or row["key"] < query["to"])]
                page = self.first_page(query["table"], rows)
                return self.answer(connection, 200, {
                    "rows": page,
                    "truncated": len(rows) > len(page),
                    "now-ms": int(time.monotonic() * 1000),
                    "ver": self.version})
        after = int(query["after-rev"])
        if self.era is not None and after > self.version:
            if self.lost_watch == "refused":
                return self.answer(connection, 410, {})
            if self.lost_watch == "empty":
                return self.answer(connection, 200,
                                   {"rows": [], "ver": self.version})
        wait = 0 if self.ignores_wait else int(query["wait-ms"]) / 1000
        until = time.monotonic() + wait
        with self.changed:
            while not self.select_rows(query["table"], after, True):
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            answer = {
                "rows": self.select_rows(query["table"], after, True),
                "ver": self.version}
        if self.fault:  # Set while the call waited.
            return self.serve(connection, start, headers, body)
        if self.era != era:  # Of the store that the call was sent to.
            return False
        return self.answer(connection, 200, answer)

    def send_part(self, connection, headers, fault):
        length = b"Content-Length: 262144\r\n"
        head = {
            "held_body": b"HTTP/1.1 200 X\r\n" + length,
            "held_error": self.response_head(headers, 500, length),
            "held_event": self.response_head(
                headers, 200, b"Content-Type: text/event-stream\r\n" + length),
        }[fault]
        connection.sendall(head + b"\r\n" + b"x" * 200000)
        connection.recv(1)  # Until the other side closes.
        return False

    def answer(self, connection, status, body):
        era = b"" if self.era is None else b"Store-Era: %d\r\n" % self.era
        return self.reply(connection, status, body, era)

    def send_endlessly(self, connection):
        connection.sendall(b"HTTP/1.1 200 X\r\n\r\n")
        while True:
            connection.sendall(b"x" * 65536)
            self.endless_bytes += 65536

    @staticmethod
    def reply(connection, status, body, headers=b""):
        text = json.dumps(body).encode()
        connection.sendall(
            b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, headers, len(text), text))
        return True

    def copy(self):
        """What the store holds now, for `come_back`."""
        with self.changed:
            return dict(self.rows), self.version

    def go_away(self):
        self.fault = "reset"
        with self.changed:
            self.changed.notify_all()

    def come_back(self, copy=None, passed_versions=0):
        """With a copy, from that one, in a new era; `passed_versions` are
        given out before anyone reads."""
        with self.changed:
            if copy is not None:
                self.rows, self.version = dict(copy[0]), copy[1]
                self.version += passed_versions
                self.era = (self.era or 0) + 1
            self.fault = None
            self.changed.notify_all()


class RejectingStore(Server):
    """A second address of a store; answers 503 while `is_rejecting` is set."""

    def __init__(self, store):
        self.store = store
        self.is_rejecting = False
        self.rejected_calls = 0
        super().__init__()

    def serve(self, connection, start, headers, body):
        if self.is_rejecting:
            self.rejected_calls += 1
            return Store.reply(connection, 503, {})
        return self.store.serve(connection, start, headers, body)


class Target(Server):
    """A target: plain answers, or streams of numbered events.

    `faults` is a list of names; each request gets and removes the first one:
        "shed"       refuses the request without running it
        "reset"      closes the connection without running the request
        "lost"       runs the request and closes the connection unanswered
        "hang"       runs the request and never answers
        "slow"       answers after a second
        "error"      answers 500
        "crossed"    answers with the id of another request
        "truncated"  closes the connection within the body
        "extra"      sends a second, unrequested answer
        "cut"        closes the connection within the fourth event of a stream
        "pieces"     sends each event of a stream in two parts
    These send bytes until the other side closes the connection:
        "endless_head"   header lines
        "endless_line"   one header line
        "endless_body"   a body that is no answer of the target
        "endless_error"  the body of a server error
        "endless_503"    the body of a 503 to a request that has run
        "endless_429"    the same of a 429
        "endless_event"  one event of a stream
        "endless_lines"  one event of short lines, each in a chunk of its own
        "endless_comments"  comments of a stream, each in a chunk of its own
        "endless_chunk"  the extension of a chunk
        "endless_trailer"  fields behind a chunked body
        "trickle"        a byte of a header line every 50 ms
    These send 200 KB of a longer body and then nothing more:
        "held_body"      a body that is no answer of the target
        "held_error"     the body of a server error
        "held_event"     one event of a stream
    """

    def __init__(self, store, name, service, state="ready"):
        self.name = name
        self.faults = []
        self.runs = []       # (request id, first event) of each run.
        self.received = []   # Headers of each request.
        self.cancelled = []  # Request ids whose connection ended early.
        self.event_gap = 0.0
        self.endless_bytes = 0  # Sent by faults that send without end.
        self.ended_endless = 0  # Connections closed by the other side.
        super().__init__()
        self.row = {"service": service, "address": self.address, "zone": "west",
                    "version": "v1", "slots": 8, "state": state,
                    "cold-left-ms": 0, "seq": 1, "born": 1}
        self.store = store
        store.put("servers", name, self.row)

    def drain(self):
        self.row["state"] = "draining"
        self.store.put("servers", self.name, self.row)

    def response_head(self, headers, status=200, extra=b""):
        return (b"HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nRunner-Signature: s\r\n%s"
                % (status, headers["attempt-id"].encode(), extra))

    def serve(self, connection, start, headers, body):
        self.received.append(headers)
        fault = self.faults.pop(0) if self.faults else None
        if headers.get("expect-runner") != self.name:
            connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if fault == "shed":
            connection.sendall(b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                               b"Content-Length: 0\r\n\r\n")
            return True
        if fault == "reset":
            return False
        self.runs.append((headers["attempt-id"],
                          int(headers.get("last-event-id", 0))))
        if fault == "lost":
            return False
        if fault == "hang":
            time.sleep(3600)
        if fault and fault.startswith("held"):
            return self.send_part(connection, headers, fault)
        if fault and (fault.startswith("endless") or fault == "trickle"):
            return self.send_endlessly(connection, headers, fault)
        if start[1].startswith("/stream/"):
            return self.stream(connection, headers, fault)
        answer = b"answer to " + headers["attempt-id"].encode()
        if fault == "crossed":
            headers = {"attempt-id": "another"}
        if fault == "error":
            connection.sendall(self.response_head(headers, 500) +
                               b"Content-Length: 0\r\n\r\n")
            return True
        if fault == "slow":
            time.sleep(1.0)
        length = len(answer)
        if fault == "truncated":
            answer = answer[:4]
        connection.sendall(self.response_head(headers) +
                           b"Content-Length: %d\r\n\r\n%s" % (length, answer))
        if fault == "extra":
            connection.sendall(self.response_head({"attempt-id": "late"}) +
                               b"Content-Length: 4\r\n\r\nlate")
        return fault != "truncated"

    def send_part(self, connection, headers, fault):
        length = b"Content-Length: 262144\r\n"
        head = {
            "held_body": b"HTTP/1.1 200 X\r\n" + length,
            "held_error": self.response_head(headers, 500, length),
            "held_event": self.response_head(
                headers, 200, b"Content-Type: text/event-stream\r\n" + length),
        }[fault]
        connection.sendall(head + b"\r\n" + b"x" * 200000)
        connection.recv(1)  # Until the other side closes.
        return False

    def send_endlessly(self, connection, headers, fault):
        signed_stream = self.response_head(
            headers, extra=b"Content-Type: text/event-stream\r\n"
                           b"Transfer-Encoding: chunked\r\n") + b"\r\n"
        filler = b"x" * 65536
        first, repeated = {
            "endless_head": (b"HTTP/1.1 200 X\r\n", b"Name: value\r\n" * 4096),
            "endless_line": (b"HTTP/1.1 200 X\r\nName: ", filler),
            "endless_body": (b"HTTP/1.1 200 X\r\n\r\n", filler),
            "endless_error": (self.response_head(headers, 500) + b"\r\n",
                              filler),
            "endless_503": (self.response_head(headers, 503) + b"\r\n",
                            filler),
            "endless_429": (self.response_head(headers, 429) + b"\r\n",
                            filler),
            "endless_event": (signed_stream, b"10000\r\n" + filler + b"\r\n"),
            "endless_lines": (signed_stream, b"2\r\na\n\r\n" * 8192),
            "endless_comments": (signed_stream, b"3\r\n:\n\n\r\n" * 8192),
            "endless_trailer": (signed_stream + b"0\r\n",
                                b"Name: value\r\n" * 4096),
            "endless_chunk": (signed_stream + b"5;", filler),
            "trickle": (b"HTTP/1.1 200 X\r\nName: ", b"x"),
        }[fault]
        try:
            connection.sendall(first)
            while True:
                connection.sendall(repeated)
                self.endless_bytes += len(repeated)
                if fault == "trickle":
                    time.sleep(0.05)
        except OSError:
            self.ended_endless += 1
        return False

    def stream(self, connection, headers, fault):
        first = int(headers.get("last-event-id", 0)) + 1
        connection.sendall(self.response_head(
            headers, extra=b"Content-Type: text/event-stream\r\n"
                           b"Transfer-Encoding: chunked\r\n") + b"\r\n")
        for number in range(first, 11):
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            if fault == "cut" and number == first + 3:
                part = event[:9]
                connection.sendall(b"%x\r\n%s\r\n" % (len(part), part))
                return False
            if fault == "pieces":
                connection.sendall(b"9\r\n%s\r\n" % event[:9])
                time.sleep(0.05)
                event = event[9:]
            try:
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                self.cancelled.append(headers["attempt-id"])
                raise
            time.sleep(self.event_gap)
        connection.sendall(b"0\r\n\r\n")
        return True

"""Stand-in for the platform's store: versioned rows, reads, transactions,
long-polled feeds, and a restore from an older copy (Store-Era)."""

import base64
import copy
import json
import socket
import threading
import time
import urllib.parse

HISTORY_SECONDS = 20
TRANSACTION_SECONDS = 0.004
# Tables that only the operator and the runners write.
PROTECTED = ("op", "servers")


def read_message(stream):
    """Start line, headers (lower case) and body; None at the end."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = stream.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(stream.readline().split(b";")[0], 16):
            body += stream.read(size)
            stream.readline()
        stream.readline()
    else:
        body = stream.read(int(headers.get("content-length", 0)))
    return line.decode("latin-1").split(), headers, body


class Listener:
    """Accepts connections and runs `serve(connection, message)` on a thread
    each; it returns whether the connection stays open."""

    def __init__(self, address):
        self.listener = socket.create_server(address, backlog=256)
        self.connections = set()
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self._run, args=(connection,),
                             daemon=True).start()

    def _run(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                while (message := read_message(stream)) is not None:
                    if not self.serve(connection, *message):
                        return
        except (OSError, ValueError):
            pass  # The peer closed or reset the connection.
        finally:
            with self.lock:
                self.connections.discard(connection)

    def reset_connections(self):
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It was closed already.


class Store(Listener):
    def __init__(self, address):
        self.rows = {}        # (table, part, key) -> (value, ver)
        self.removed = {}     # (table, part, key) -> ver
        self.version = 0
        self.floor = 0        # Oldest version from which the feed goes on.
        self.era = 1
        self.is_down = False
        self.copies = []      # (time, state), one each second.
        self.changed = threading.Condition()
        self.log = lambda *fields: None
        super().__init__(address)
        threading.Thread(target=self._copy, daemon=True).start()

    # What the operator and the runners write.
    def write(self, table, key, value):
        """Returns the version once the write is acknowledged; None if the
        store is down."""
        time.sleep(TRANSACTION_SECONDS)
        with self.changed:
            if self.is_down:
                return None
            self._put((table, "", key), json.dumps(value).encode())
            return self.version

    def remove(self, table, key):
        time.sleep(TRANSACTION_SECONDS)
        with self.changed:
            if self.is_down:
                return None
            self._drop((table, "", key))
            return self.version

    def _put(self, name, value):
        self.version += 1
        self.rows[name] = (value, self.version)
        self.removed.pop(name, None)
        self.changed.notify_all()

    def _drop(self, name):
        self.version += 1
        if self.rows.pop(name, None) is not None:
            self.removed[name] = self.version
        self.changed.notify_all()

    # The drill: away for a moment, back from a copy.
    def _copy(self):
        while True:
            with self.changed:
                if not self.is_down:
                    state = (copy.copy(self.rows), copy.copy(self.removed),
                             self.version)
                    self.copies = self.copies[-30:] + [(time.monotonic(),
                                                        state)]
            time.sleep(0.25)

    def go_down(self):
        with self.changed:
            self.is_down = True
            self.changed.notify_all()
        self.reset_connections()

    def come_back(self, copy_age=None):
        """With `copy_age`, from a copy that was so old when it went down."""
        with self.changed:
            if copy_age is not None:
                newest = self.copies[-1][0]
                age = [entry for entry in self.copies
                       if entry[0] <= newest - copy_age]
                self.rows, self.removed, self.version = copy.deepcopy(
                    age[-1][1])
                self.copies = []
                self.era += 1
                self.floor = min(self.floor, self.version)
            self.is_down = False
            self.changed.notify_all()

    # The calls of the system.
    def serve(self, connection, start, headers, body):
        if self.is_down:
            return False
        method, target = start[0], start[1]
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if (method, path) == ("POST", "/v1/rows-tx"):
            status, answer = self._transact(json.loads(body))
        elif (method, path) == ("GET", "/v1/rows-get"):
            status, answer = self._get(query)
        elif (method, path) == ("GET", "/v1/rows-feed"):
            status, answer = self._feed(query)
        else:
            status, answer = 404, {}
        if self.is_down:
            return False
        text = json.dumps(answer).encode()
        connection.sendall(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n%s" %
            (status, self.era, len(text), text))
        return True

    def _stamp(self, answer):
        return {**answer, "ver": self.version,
                "now-ms": int(time.monotonic() * 1000)}

    def _transact(self, call):
        time.sleep(TRANSACTION_SECONDS)
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        with self.changed:
            entries = call.get("writes", []) + call.get("remove", [])
            if any(row["table"] in PROTECTED for row in entries):
                return 403, {}
            for row in call.get("expected-rev", []):
                version = self.rows.get(name(row), (None, 0))[1]
                if version != row["ver"]:
                    return 412, self._stamp({"rows": []})
            for row in call.get("writes", []):
                self._put(name(row), base64.b64decode(row["value"]))
            for row in call.get("remove", []):
                self._drop(name(row))
            return 200, self._stamp({})

    def _row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": base64.b64encode(value).decode(), "ver": version}

    def _get(self, query):
        time.sleep(TRANSACTION_SECONDS)
        limit = min(500, int(query.get("limit", 500)))
        with self.changed:
            names = sorted(
                name for name in self.rows
                if name[0] == query["table"] and
                name[1] == query.get("part", "") and
                name[2] >= query.get("from", "") and
                ("to" not in query or name[2] < query["to"]))
            return 200, self._stamp({
                "rows": [self._row(name) for name in names[:limit]],
                "truncated": len(names) > limit})

    def _changes(self, table, after):
        rows = [self._row(name) for name, (_, version) in self.rows.items()
                if name[0] == table and version > after]
        rows += [{"table": name[0], "part": name[1], "key": name[2],
                  "ver": version, "removed": True}
                 for name, version in self.removed.items()
                 if name[0] == table and version > after]
        return sorted(rows, key=lambda row: row["ver"])

    def _feed(self, query):
        time.sleep(TRANSACTION_SECONDS)
        after = int(query["after-rev"])
        until = time.monotonic() + min(30, int(query["wait-ms"]) / 1000)
        with self.changed:
            if after < self.floor or after > self.version:
                return 410, self._stamp({})
            while not (rows := self._changes(query["table"], after)):
                left = until - time.monotonic()
                if left <= 0 or self.is_down:
                    break
                self.changed.wait(left)
            return 200, self._stamp({"rows": rows})

"""Stand-in for clients: one request on one connection, byte for byte."""

import json
import socket
import time

KEY = "asnmgkcuyj8pjbvk9m68"
HOST = "ficu95.example"


def route(prefix, kind, service, **more):
    return {"name": "r" + prefix.strip("/"), "host": HOST, "prefix": prefix,
            "route-kind": kind, "timeout-ms": 15000, "goal-ms": 400,
            "priority": 1, "service": service, "max-attempts": 1,
            "public": False, "sticky": False, "resumable": False, **more}


def configuration(version, routes, services, **more):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/healthz",
                          "max-conns": 360, "protocol": "h1", "tls": False,
                          **extra} for name, extra in services.items()],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
                       "tokens-per-s": 250000},
            "tenants": [{"name": "hule930", "api-keys": [KEY],
                         "priority": 1}], **more}


class Answer:
    def __init__(self):
        self.status = None   # None if no answer began.
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.cause = ""

    def __str__(self):
        return "status %s, %d bytes of body, %s%s" % (
            self.status, len(self.body),
            "looks complete" if self.is_whole else "incomplete",
            self.cause and " (%s)" % self.cause)


def connect(address, segment=None, receive_buffer=None, timeout=20):
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                              receive_buffer)
    if segment:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    connection.settimeout(timeout)
    connection.connect(address)
    return connection


def send(connection, path, attempt, plan=None, deadline_ms=15000,
         method="POST", key=KEY, **headers):
    body = json.dumps(plan or {}).encode() if method == "POST" else b""
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Attempt-Id: " + attempt, "Deadline-Ms: %d" % deadline_ms,
             "Credential: " + key]
    lines += ["%s: %s" % (name.replace("_", "-"), value)
              for name, value in headers.items()]
    if method == "POST":
        lines.append("Content-Length: %d" % len(body))
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class _Reader:
    """Reads at most `rate` bytes a second, if given."""

    def __init__(self, connection, rate):
        self.connection, self.rate = connection, rate
        self.data = b""
        self.began, self.count = time.monotonic(), 0

    def more(self):
        part = self.connection.recv(4096 if self.rate else 65536)
        if not part:
            raise EOFError("the connection was closed")
        self.data += part
        self.count += len(part)
        if self.rate:
            time.sleep(max(0, self.began + self.count / self.rate -
                           time.monotonic()))

    def line(self):
        while b"\r\n" not in self.data:
            self.more()
        line, _, self.data = self.data.partition(b"\r\n")
        return line.decode("latin-1")

    def take(self, count, into):
        while count > 0:
            if not self.data:
                self.more()
            part, self.data = self.data[:count], self.data[count:]
            into.body += part
            count -= len(part)


def receive(connection, rate=None):
    """Reads one answer to its end, or as far as it comes."""
    answer = Answer()
    reader = _Reader(connection, rate)
    try:
        status = int(reader.line().split(" ")[1])
        while line := reader.line():
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        answer.status = status
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(reader.line(), 16):
                reader.take(size, answer)
                reader.line()
            reader.line()
        else:
            reader.take(int(answer.headers["content-length"]), answer)
        answer.is_whole = True
    except (OSError, EOFError) as error:
        answer.cause = str(error)
    return answer


def ask(address, path, attempt, plan=None, rate=None, **more):
    try:
        connection = connect(address)
    except OSError as error:
        answer = Answer()
        answer.cause = str(error)
        return answer
    with connection:
        send(connection, path, attempt, plan, **more)
        return receive(connection, rate)

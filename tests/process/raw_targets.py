"""Raw targets and callers around real processes of papayaplank_router.

A target is a Python function over a socket, so that a test decides each byte
and how the connection ends.
"""

import itertools
import json
import os
import socket
import struct
import sys
import threading
import time

SCRIPTS = os.path.dirname(os.path.abspath(__file__)) + "/../../scripts"
sys.path.insert(0, SCRIPTS)
import fleet as fleets  # noqa: E402
from loopback_ports import claim_port  # noqa: E402

TIMEOUT_SECONDS = 30
CUSTOMERS = [f"customer-{i}" for i in range(50)]
_next_customer = itertools.cycle(CUSTOMERS)
EVENT_STREAM = "Content-Type: text/event-stream\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
END_MARK = b"data: [DONE]\n\n"


class Request:
    """A request that a target has received."""

    def __init__(self, start, headers, body):
        self.method, self.path = start.split(" ")[:2]
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers["x-request-id"]

    @property
    def resumes_after(self):
        """Tokens that the caller has; 0 for a new stream."""
        return int(self.headers.get("x-resume-after-tokens", 0))


def read_message(file):
    """Reads start line, headers and body; None at the end of the connection."""
    start = file.readline().decode()
    if not start:
        return None
    headers = {}
    while True:
        line = file.readline().decode().strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    body = file.read(int(headers.get("content-length", 0)))
    return start.strip(), headers, body


def token(number):
    """The event of one token, numbered from 1."""
    return b'data: {"token": %d}\n\n' % number


def tokens(first, last):
    """The events of the tokens from `first` to `last`."""
    return b"".join(token(i) for i in range(first, last + 1))


def chunk(data):
    """One chunk of an answer; the last one if empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def head(request, status=200, headers="", has_id=True, position=None):
    """The head of an answer to a request. `position` is the one that a resumed
    stream names, by default the one that was asked for."""
    own_id = f"X-Request-Id: {request.id}\r\n" if has_id else ""
    if position is None:
        position = f"X-Resume-After-Tokens: {request.resumes_after}\r\n" \
            if request.resumes_after and status == 200 else ""
    return f"HTTP/1.1 {status} X\r\n{own_id}{position}{headers}\r\n".encode()


def answer(request, status=200, body=b"", headers="", has_id=True):
    """A whole answer with a length."""
    length = f"Content-Length: {len(body)}\r\n"
    return head(request, status, length + headers, has_id) + body


def stream_head(request, headers="", position=None):
    """The head of a stream of events in chunks."""
    return head(request, 200, EVENT_STREAM + CHUNKED + headers,
                position=position)


def close(connection):
    """Closes a connection in an orderly way; the next read fails."""
    connection.shutdown(socket.SHUT_RDWR)


def reset(connection):
    """Resets a connection after the router has read what was sent."""
    time.sleep(0.1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    # The descriptor stays valid until the thread of the connection ends.
    connection.close()


class RawTarget:
    """Serves each connection on its own thread, at `count` addresses.

    `serve(connection, request)` writes the answer; the connection is closed
    when it returns False.
    """

    def __init__(self, serve=None, count=1):
        self.serve = serve
        self.requests = []
        self.connections = 0
        self.addresses = [f"127.0.0.1:{claim_port()}" for _ in range(count)]
        self.listeners = []
        for address in self.addresses:
            port = int(address.split(":")[1])
            listener = socket.create_server(("127.0.0.1", port), backlog=128)
            self.listeners.append(listener)
            threading.Thread(target=self._accept, args=(listener,),
                             daemon=True).start()

    def attempts(self, request):
        """Number of times that the request has arrived."""
        return sum(each.id == request.id for each in list(self.requests))

    def stop(self):
        """Refuses connections from now on."""
        for listener in self.listeners:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self.connections += 1
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(connection,),
                             daemon=True).start()

    def _run(self, connection):
        file = connection.makefile("rb")
        try:
            while True:
                message = read_message(file)
                if message is None:
                    return
                request = Request(*message)
                self.requests.append(request)
                if self.serve(connection, request) is False:
                    return
        except (OSError, ValueError):
            return
        finally:
            file.close()
            connection.close()


class RawFleet(fleets.Fleet):
    """Routers and a platform stand-in with raw targets.

    `engine` serves model-a, `service` the pool "desk". Requests go through
    many customers, since each has its own retry budget.
    """

    def __init__(self, build, engine=None, service=None, routers=1, slots=8,
                 deadline_ms=None,
                 router_flags=("--progress_timeout_ms=1500",)):
        super().__init__(build, routers=routers, engines=0, services=0,
                         data_centers=("west",), slots=slots,
                         router_flags=router_flags)
        self.raw_engine = engine
        self.raw_service = service
        self.deadline_ms = deadline_ms

    def instances(self, leaving=()):
        targets = []
        for target, pool, kind in ((self.raw_engine, "model-a", "engine"),
                                   (self.raw_service, "desk", "service")):
            for i, address in enumerate(target.addresses if target else ()):
                targets.append(self._target(f"{kind}-{i}", address, i, pool,
                                            kind, self.slots, leaving))
        routers = [{"gossip_address": each.gossip} for each in self.routers]
        return json.dumps({"targets": targets, "routers": routers})

    def start(self, routers=None):
        super().start(routers)
        change = fleets.demo_change({name: 1 for name in CUSTOMERS})
        for each in change["templates"][0]["classes"]:
            each["deadline_ms"] = self.deadline_ms or each["deadline_ms"]
        self.submit(change, base=0)
        for router in self.routers:
            fleets.wait_until(lambda r=router: self.responds(
                r.caller, "/readyz"), 15, f"{router.name} is ready")

    def stop(self):
        codes = super().stop()
        for target in (self.raw_engine, self.raw_service):
            if target:
                target.stop()
        return codes


class Answer:
    """What a caller received: `body` without chunks; `is_whole` tells whether
    its framing ended."""

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def ran(self):
        return self.headers.get("x-papayaplank-ran")

    def __repr__(self):
        return f"{self.status} whole={self.is_whole} {self.headers} {self.body}"


def _read_chunks(file):
    body = b""
    while True:
        line = file.readline()
        if not line.endswith(b"\r\n"):
            return body, False
        size = int(line, 16)
        data = file.read(size)
        body += data
        if len(data) < size or file.readline() != b"\r\n":
            return body, False
        if size == 0:
            return body, True


def send(router, path, body=b"", method="POST", version="1.1", customer=None,
         **headers):
    """Sends a request to a router; returns the connection. A header X_Name is
    sent as X-Name. The customers take turns unless one is named."""
    host, port = router.caller.split(":")
    connection = socket.create_connection((host, int(port)),
                                          timeout=TIMEOUT_SECONDS)
    headers = {name.replace("_", "-"): value
               for name, value in headers.items()}
    headers["Authorization"] = "Bearer " + fleets.key_of(
        customer or next(_next_customer))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    connection.sendall(f"{method} {path} HTTP/{version}\r\nHost: router\r\n"
                       f"Content-Length: {len(body)}\r\n{lines}\r\n".encode()
                       + body)
    return connection


def receive(connection, pause=0.0):
    """Reads one answer to its end, or as far as it came. With `pause` the
    caller waits so many seconds after the head."""
    file = connection.makefile("rb")
    try:
        status, headers, body, is_whole = 0, {}, b"", False
        start = file.readline().decode()
        if not start.endswith("\r\n"):
            return Answer(status, headers, body, is_whole)
        status = int(start.split(" ")[1])
        while True:
            line = file.readline().decode().strip()
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        time.sleep(pause)
        if headers.get("transfer-encoding") == "chunked":
            body, is_whole = _read_chunks(file)
        elif "content-length" in headers:
            length = int(headers["content-length"])
            body = file.read(length)
            is_whole = len(body) == length
        else:
            body = file.read()
            is_whole = True
        return Answer(status, headers, body, is_whole)
    except ConnectionError:
        return Answer(status, headers, body, False)
    finally:
        file.close()
        connection.close()


_prompt_numbers = itertools.count()


def prompt():
    """A prompt that no other shares, so that targets take turns."""
    text = f"{next(_prompt_numbers)} asks"
    return json.dumps({"model": "model-a", "stream": True,
                       "messages": [text]}).encode()


def ask(router, path="/v1/chat/completions", body=None, **headers):
    """Sends a request to a router and reads the answer."""
    body = prompt() if body is None else body
    return receive(send(router, path, body, **headers))

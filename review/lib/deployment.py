"""A small deployment on loopback: the platform's store, runners and clients as
stand-ins after PROTOCOL.md, and routers as processes of the deploy file.

Stand-ins run in this process on one event loop; each router is a process of its
own, started with the command and the settings template of deploy/system.toml.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
HOST = "desk.example"
KEY = "key-guild-1"
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not run; no statement about the rule."""


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w", encoding="utf-8")
        self.start = now()

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.start:9.4f} {event} {text}\n")

    def close(self):
        self.file.close()


class LagWatch:
    """Longest time for which this process's event loop did not run."""

    def __init__(self):
        self.longest = 0.0
        self.task = asyncio.ensure_future(self.run())

    async def run(self):
        last = now()
        while True:
            await asyncio.sleep(0.02)
            self.longest = max(self.longest, now() - last - 0.02)
            last = now()

    def reset(self):
        self.longest = 0.0


async def read_head(reader):
    """Start line and headers (names in lower case), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].split(" "), headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def http_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections; subclasses answer one message at a time."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.run, self.ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def run(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if not await self.serve(writer, *head, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The peer closed first.
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store(Server):
    """The platform's store: rows with versions, transactions and feeds.

    The operator and the runners of the case write with `write`, which returns
    the time of the acknowledgement.
    """

    tx_s = 0.004

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}  # (table, part, key): (value or None, ver)
        self.version = 0
        self.changed = asyncio.Condition()
        self.calls = 0

    async def apply(self, writes, removes):
        async with self.changed:
            self.version += 1
            for row in writes:
                key = (row["table"], row.get("part", ""), row["key"])
                self.rows[key] = (row["value"], self.version)
            for row in removes:
                key = (row["table"], row.get("part", ""), row["key"])
                if self.rows.get(key, (None, 0))[0] is not None:
                    self.rows[key] = (None, self.version)
            self.changed.notify_all()

    async def write(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await asyncio.sleep(self.tx_s)
        await self.apply([{"table": table, "key": key, "value": text}], [])
        return now()

    async def remove(self, table, key):
        await asyncio.sleep(self.tx_s)
        await self.apply([], [{"table": table, "key": key}])
        return now()

    def row(self, key):
        value, version = self.rows[key]
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = value
        return row

    def now_ms(self):
        return int(now() * 1000)

    async def serve(self, writer, start, headers, body):
        self.calls += 1
        path, _, query = start[1].partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-tx":
            await asyncio.sleep(self.tx_s)
            status, answer = await self.transact(json.loads(body))
        elif path == "/v1/rows-get":
            status, answer = 200, self.list_rows(query)
        elif path == "/v1/rows-feed":
            status, answer = 200, await self.feed(query)
        elif path == "/v1/rows-parts":
            parts = sorted({key[1] for key, row in self.rows.items()
                            if key[0] == query["table"] and row[0]})
            status, answer = 200, {"parts": parts, "ver": self.version}
        else:
            status, answer = 404, {}
        answer["now-ms"] = self.now_ms()
        writer.write(http_answer(status, json.dumps(answer).encode(),
                                 [("Content-Type", "application/json")]))
        await writer.drain()
        return True

    async def transact(self, call):
        stale = []
        for row in call.get("expected-rev", ()):
            key = (row["table"], row.get("part", ""), row["key"])
            value, version = self.rows.get(key, (None, 0))
            if (version if value is not None else 0) != row["ver"]:
                stale.append(key)
        if stale:
            rows = [self.row(key) for key in stale if key in self.rows]
            return 412, {"rows": rows, "ver": self.version}
        await self.apply(call.get("writes", ()), call.get("remove", ()))
        return 200, {"ver": self.version}

    def list_rows(self, query):
        keys = [key for key, row in sorted(self.rows.items())
                if key[0] == query["table"] and row[0] is not None
                and key[1] == query.get("part", "")
                and key[2] >= query.get("from", "")
                and ("to" not in query or key[2] < query["to"])]
        limit = min(500, int(query.get("limit", 500)))
        return {"rows": [self.row(key) for key in keys[:limit]],
                "truncated": len(keys) > limit, "ver": self.version}

    async def feed(self, query):
        after = int(query["after-rev"])

        def news():
            return [self.row(key) for key, row in self.rows.items()
                    if key[0] == query["table"] and row[1] > after]
        try:
            async with asyncio.timeout(int(query["wait-ms"]) / 1000):
                async with self.changed:
                    await self.changed.wait_for(news)
        except TimeoutError:
            pass
        return {"rows": sorted(news(), key=lambda row: row["ver"]),
                "ver": self.version}


class Runner(Server):
    """A runner of a service with plain answers; it beats in the store."""

    counter = itertools.count(1)
    work_s = 0.015
    slots = 6

    def __init__(self, store, record, service):
        super().__init__()
        self.store = store
        self.record = record
        self.service = service
        self.id = f"i-{next(self.counter):04d}"
        self.state = "ready"
        self.seq = 0
        self.arrivals = []  # (time, Attempt-Id) of requests that it runs.
        self.drained_at = None  # Acknowledgement of its leaving.

    async def start(self):
        await self.listen()
        self.born = int(time.time() * 1000)
        await self.beat()
        self.beats = asyncio.ensure_future(self.keep_beating())

    async def beat(self):
        self.seq += 1
        return await self.store.write("servers", self.id, {
            "service": self.service, "address": self.address, "zone": "zone-a",
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold-left-ms": 0, "seq": self.seq, "born": self.born})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    async def drain(self):
        self.state = "draining"
        self.drained_at = await self.beat()
        self.record.write("runner_draining_acknowledged", runner=self.id)

    async def leave(self):
        self.beats.cancel()
        await self.store.remove("servers", self.id)
        self.close()
        self.record.write("runner_left", runner=self.id)

    async def serve(self, writer, start, headers, body):
        at = now()
        request = headers.get("attempt-id", "")
        echo = [("Attempt-Id", request)]
        if headers.get("expect-runner", self.id) != self.id:
            writer.write(http_answer(421, b"", echo + [("Not-Executed", "1")]))
            return True
        if "attempt-id" not in headers:  # A health check.
            status = 200 if self.state == "ready" else 503
            writer.write(http_answer(status, b"", [("Runner-Id", self.id)]))
            return True
        self.arrivals.append((at, request))
        self.record.write("run", runner=self.id, request=request)
        await asyncio.sleep(self.work_s)
        writer.write(http_answer(200, b"done " + request.encode(), echo + [
            ("Runner-Signature", "s-" + self.id)]))
        await writer.drain()
        return True


class Router:
    """A router process on its own loopback address."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"edge-{number}"
        self.zone = "zone-" + "abc"[number % 3]
        # The processes of one case have addresses of their own, like machines.
        self.ip = f"127.{deployment.net}.1.{number}"
        self.front, self.ready, self.directory, self.peer, self.metrics = (
            self.free_port() for _ in range(5))
        self.process = None

    def free_port(self):
        while True:
            with socket.socket() as tcp, \
                    socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((self.ip, 0))
                port = tcp.getsockname()[1]
                try:
                    udp.bind((self.ip, port))
                except OSError:
                    continue
                if port not in self.deployment.taken_ports:
                    self.deployment.taken_ports.add(port)
                    return port

    def settings(self):
        values = {
            "node": self.name, "zone": self.zone, "region": "region-a",
            "ip": self.ip,
            "listen": {"front": f"{self.ip}:{self.front}",
                       "ready": f"{self.ip}:{self.ready}",
                       "directory": f"{self.ip}:{self.directory}"},
            "port-range": [self.peer, self.metrics],
            "platform": {"address": self.deployment.store_address},
            "limits": {"cpu-share": 0.25, "memory-mb": 260, "max-fds": 4100},
            "bounds": {"revoke-ms": 5000, "grace-s": 8, "retry-ratio": 0.2,
                       "retry-slack": 56, "retry-window-s": 10}}

        def find(path):
            value = values
            for part in path.split("."):
                value = value[int(part) if isinstance(value, list) else part]
            return str(value)
        with open(os.path.join(ROOT, self.deployment.template),
                  encoding="utf-8") as file:
            text = file.read()
        text = re.sub(r"\{\{[#/][^}]*\}\}", "", text)
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: find(m.group(1)), text)

    def start(self):
        path = os.path.join(self.deployment.folder, self.name + ".flags")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {"PATH": os.environ["PATH"], "PAPAYAPLANK_BOOT": path}
        self.log_path = os.path.join(self.deployment.folder,
                                     self.name + ".log")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.deployment.command, cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.deployment.record.write("router_started", router=self.name)

    def send_signal(self, number):
        self.process.send_signal(number)
        self.deployment.record.write("signal", router=self.name,
                                     number=signal.Signals(number).name)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def call(self, port, path):
        """Status and body of a GET."""
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(self.ip, port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            start, headers = await read_head(reader)
            body = await read_body(reader, headers)
            writer.close()
        return int(start[1]), body

    async def is_ready(self):
        try:
            return (await self.call(self.ready, "/v1/readyz"))[0] == 200
        except (OSError, TimeoutError, TypeError):
            return False

    async def metric(self, name):
        _, body = await self.call(self.metrics, "/metrics")
        for line in body.decode().splitlines():
            if line.split(" ")[0] == name:
                return float(line.split(" ")[1])
        return None


def route(prefix, kind, service, **more):
    return dict({"name": prefix.strip("/"), "host": HOST, "prefix": prefix,
                 "route-kind": kind, "timeout-ms": 1500, "goal-ms": 100,
                 "priority": 2, "service": service, "max-attempts": 2,
                 "public": False}, **more)


def configuration(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health-path": "/healthz",
                          "max-conns": 110} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 15000,
                       "tokens-per-s": 100000},
            "tenants": [{"name": "guild", "api-keys": list(keys)}]}


class Answer:
    """What a client got: `status` is None without the head of an answer, and
    `is_whole` tells whether the body came to its end."""

    def __init__(self, request):
        self.request = request  # Attempt-Id
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.has_timed_out = False  # The client gave up; nobody closed.


class Client:
    """Requests of one client on kept connections, one per router."""

    counter = itertools.count(1)

    def __init__(self, record):
        self.record = record
        self.connections = {}

    async def request(self, router, path, method="POST", key=KEY, body=b"{}",
                      wait_ms=1500, more=()):
        answer = Answer(f"{os.getpid():06x}{next(self.counter):010x}")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"Attempt-Id: {answer.request}", f"Deadline-Ms: {wait_ms}",
                 f"Credential: {key}", *more]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.record.write("sent", request=answer.request, router=router.name,
                          path=path)
        connection = self.connections.pop(router.name, None)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                if connection is None:
                    connection = await asyncio.open_connection(router.ip,
                                                               router.front)
                reader, writer = connection
                writer.write(head + (body if method != "GET" else b""))
                result = await read_head(reader)
                if result is not None:
                    start, answer.headers = result
                    answer.status = int(start[1])
                    answer.body = await read_body(reader, answer.headers)
                    answer.is_whole = True
        except TimeoutError:
            answer.has_timed_out = True
        except (OSError, asyncio.IncompleteReadError):
            pass  # The record tells how far the answer came.
        if answer.is_whole and answer.headers.get("connection") != "close":
            self.connections[router.name] = connection
        elif connection is not None:
            connection[1].close()
        self.record.write("answered", request=answer.request,
                          status=answer.status, whole=answer.is_whole)
        return answer


class Deployment:
    """All processes and stand-ins of a case; `close` ends them."""

    def __init__(self, folder):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        self.command = [os.path.join(ROOT, role["run"].split(" ")[0]),
                        *role["run"].split(" ")[1:]]
        self.template = role["template"]
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the build command of deploy/system.toml has not "
                            "been run")
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="papayaplank-review-")
        self.net = 16 + os.getpid() % 200
        self.taken_ports = set()
        self.routers = []
        self.runners = []

    async def open(self):
        self.lag = LagWatch()
        self.store = Store(self.record)
        await self.store.listen()
        self.store_address = self.store.address

    async def configure(self, document):
        at = await self.store.write("op", "config", document)
        self.record.write("configuration_acknowledged",
                          version=document["version"])
        return at

    async def add_runner(self, service):
        runner = Runner(self.store, self.record, service)
        await runner.start()
        self.runners.append(runner)
        return runner

    def add_routers(self, count):
        added = []
        for _ in range(count):
            router = Router(self, len(self.routers) + 1)
            router.start()
            self.routers.append(router)
            added.append(router)
        return added

    async def wait_ready(self, routers, wait_s=15):
        until = now() + wait_s
        for router in routers:
            while not await router.is_ready():
                if now() > until or not router.is_running():
                    raise CannotRun(f"{router.name} did not become ready")
                await asyncio.sleep(0.05)

    def close(self, keep_logs=False):
        for router in self.routers:
            if router.process is None:
                continue
            if router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
            router.process.wait()
        self.record.close()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, folder):
    """Runs `case(deployment, has_trouble)`, which returns a list of breaches.

    Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main(deployment):
        await deployment.open()
        try:
            return await case(deployment, has_trouble)
        finally:
            deployment.lag.task.cancel()

    try:
        deployment = Deployment(folder)
    except CannotRun as error:
        print("could not run:", error)
        return 2
    try:
        breaches = asyncio.run(main(deployment))
        for line in breaches:
            deployment.record.write("BREACH", what=line)
            print("BREACH", line)
        print("rule broken" if breaches else "rule held")
        return 1 if breaches else 0
    except CannotRun as error:
        deployment.record.write("could_not_run", what=error)
        print("could not run:", error)
        return 2
    finally:
        deployment.close(os.environ.get("KEEP_LOGS") == "1")

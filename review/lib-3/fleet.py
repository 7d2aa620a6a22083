"""Starts the routers of the deploy file as separate processes on loopback
addresses, with settings that are rendered from its template."""

import http.client
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
from loopback_ports import claim_port  # noqa: E402

BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000,
          "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
          "loss-slack-ms": 200, "config-ms": 2000, "downgrade-ms": 250,
          "max-skew-ms": 5000, "strict-revoke": True, "revoke-ms": 5000,
          "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 54,
          "recover-s": 12, "max-lag-ms": 120, "reuse-window-s": 10,
          "quota-window-s": 4, "ttl_max_s": 5}
# Of the deployments in demands/, but for what each of them has of its own.
DEMANDS_BOUNDS = {**BOUNDS, "contact-ms": 4000, "ack-ms": 6000,
                  "catch-up-s": 6, "drain-ms": 3000, "config-ms": 3000,
                  "max-skew-ms": 6000, "recover-s": 15, "max-lag-ms": 200}


def lookup(name, scopes):
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                break
        else:
            return value
    return None


def render(text, scopes, entry=None, key="", is_last=True):
    """Fills in a template as the deploy page describes."""
    out, at = "", 0
    for match in iter(lambda: re.compile(r"{{([#^]?)([^}]*)}}").search(
            text, at), None):
        out += text[at:match.start()]
        kind, name = match.groups()
        at = match.end()
        if kind:
            end = text.index("{{/%s}}" % name, at)
            inner, at = text[at:end], end + len(name) + 5
            value = lookup(name, scopes)
            if kind == "^":
                out += "" if value else render(inner, scopes)
            elif isinstance(value, (dict, list)):
                items = list(value.items() if isinstance(value, dict)
                             else enumerate(value))
                for i, (item_key, item) in enumerate(items):
                    out += render(inner, [item] + scopes, item, item_key,
                                  i + 1 == len(items))
            elif value is not None and value is not False:
                out += render(inner, scopes, value)
        elif name == ".":
            out += to_text(entry)
        elif name == "@":
            out += str(key)
        elif name == ",":
            out += "" if is_last else ","
        else:
            out += to_text(lookup(name, scopes))
    return out + text[at:]


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(to_text, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


class Router:
    """One machine with the role of the deploy file."""

    def __init__(self, fleet, name, ip, zone):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.process = None
        self.lines = []
        self.settings = {
            "node": name, "role": fleet.role, "machine-class": "edge",
            "ip": ip, "zone": zone, "region": "r", "serves": ["edge"],
            "zones": {each: "r" for each in fleet.zones},
            "listen": {"front": "%s:%d" % (ip, fleet.ports[0]),
                       "ready": "%s:%d" % (ip, fleet.ports[1]),
                       "control": "%s:%d" % (ip, fleet.ports[2]),
                       "directory": "%s:%d" % (ip, fleet.ports[3])},
            "port-range": fleet.ports[4:6], "heartbeat-ms": 1200,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260,
                       "max-fds": 4100, "link-mbps": 1000.0},
            "bounds": fleet.bounds,
            "platform": {"address": "%s:%d" % fleet.store_address}}

    @property
    def front(self):
        return self.ip, self.fleet.ports[0]

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".flags")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(self.fleet.template, [self.settings]))
        environment = {name: os.environ[name] for name in ("PATH", "HOME")
                       if name in os.environ}
        environment["PAPAYAPLANK_BOOT"] = path
        self.process = subprocess.Popen(
            self.fleet.command, cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True)
        threading.Thread(target=self._read, args=(self.process.stdout,),
                         daemon=True).start()

    def _read(self, stream):
        for line in stream:
            try:
                self.lines.append(json.loads(line))
            except ValueError:
                pass  # A process that was killed may cut its last line.

    def get(self, port, path):
        connection = http.client.HTTPConnection(self.ip, port, timeout=1)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None, b""
        finally:
            connection.close()

    def is_ready(self):
        return self.get(self.fleet.ports[1], "/v1/readyz")[0] == 200

    def signal(self, number):
        self.process.send_signal(number)


class Fleet:
    def __init__(self, store_address, routers=3, zones=("a", "b", "c"),
                 bounds=None):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            deploy = tomllib.load(file)
        self.role, role = next((name, role) for name, role
                               in deploy["roles"].items()
                               if "edge" in role["serves"])
        self.command = role["run"].split()
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            self.template = file.read()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store_address = store_address
        self.zones = zones
        self.ports = [claim_port() for _ in range(6)]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.routers = [Router(self, "edge-%d" % i, "127.31.0.%d" % (i + 1),
                               zones[i % len(zones)]) for i in range(routers)]

    def start(self):
        for router in self.routers:
            router.start()

    def stop(self):
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
        for router in self.routers:
            if router.process:
                router.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition, what, seconds=20):
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CannotRun("not within %d s: %s" % (seconds, what))
        time.sleep(0.02)


class CannotRun(Exception):
    """The case couldn't be set up."""


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, *fields):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began,
                                             "  ".join(map(str, fields))))
            self.file.flush()


def run_case(record_path, has_trouble, case):
    """Runs `case(record, has_trouble)`, which returns the broken promises, and
    exits as the review asks: 1 if there are any, 0 if not, 2 if it couldn't
    run."""
    record = Record(record_path)
    record("begin", "with the disruption" if has_trouble
           else "without the disruption")
    try:
        broken = case(record, has_trouble)
    except Exception as error:  # Whatever it is, the case shows nothing.
        record("the case couldn't run:", repr(error))
        print("couldn't run:", repr(error))
        sys.stdout.flush()
        os._exit(2)
    for line in broken:
        record("BROKEN", line)
        print("BROKEN", line)
    record("end", "broken" if broken else "held")
    print("broken" if broken else "held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)

"""Starts papayaplank_edge between stand-ins for the users' platform."""

import http.client
import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "../../scripts"))
from loopback_ports import claim_port  # noqa: E402

WAIT_SECONDS = 20  # Longest wait for a state; not a bound that a test checks.


def route(prefix, kind, **more):
    """A route of the configuration document; `kind` is its route-kind."""
    return dict({"name": prefix, "host": "shop.example", "prefix": prefix,
                 "route-kind": kind, "timeout-ms": 8000, "goal-ms": 2000,
                 "service": "s", "max-attempts": 2, "public": False}, **more)


def configuration(version, keys=("key-1",), extra=()):
    return {"version": version,
            "routes": [route("/read/", "idempotent"),
                       route("/write/", "non_idempotent"),
                       route("/stream/", "streaming", resumable=True),
                       route("/stream/once/", "streaming", resumable=False),
                       route("/short/", "idempotent", **{"timeout-ms": 600}),
                       *extra],
            "services": [{"name": "s", "max-conns": 100}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": 65536,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
                       "tokens-per-s": 1000},
            "tenants": [{"name": "guild", "api-keys": list(keys)}]}


class Edge:
    """One router process."""

    # Path of papayaplank_edge; tests set it from the build directory.
    program = None

    def __init__(self, store, name, reads_log=True, flags=()):
        self.name = name
        self.flags = list(flags)  # Beyond those that every test gives.
        # Ports on 127.0.0.1.
        self.caller, self.ready, self.directory, self.metrics, self.peer = (
            claim_port() for _ in range(5))
        self.start(store, reads_log)

    def restart(self, store):
        self.stop()
        self.start(store)

    def start(self, store, reads_log=True):
        self.process = subprocess.Popen(
            [self.program, f"--name={self.name}", "--data_center=west",
             "--region=r",
             f"--caller_listen=127.0.0.1:{self.caller}",
             f"--ready_listen=127.0.0.1:{self.ready}",
             f"--directory_listen=127.0.0.1:{self.directory}",
             f"--metrics_listen=127.0.0.1:{self.metrics}",
             f"--peer_listen=127.0.0.1:{self.peer}",
             f"--store_address={store.address}", "--retry_slack=1000",
             "--stop_grace_seconds=8", *self.flags],
            stdout=subprocess.PIPE, text=True)
        self.lines = []  # Parsed lines of the log.
        if reads_log:
            threading.Thread(target=self.read_log, daemon=True,
                             args=(self.process.stdout, self.lines)).start()

    @staticmethod
    def read_log(stream, lines):
        for line in stream:
            if line.endswith("\n"):  # A killed process may cut its last line.
                lines.append(json.loads(line))

    def is_ready(self):
        try:
            return get(self.ready, "/v1/readyz")[0] == 200
        except OSError:
            return False

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdout.close()


def get(port, path):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("GET", path)
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    return answer.status, body


def wait_for(condition, what):
    until = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > until:
            raise AssertionError(f"not within {WAIT_SECONDS} s: {what}")
        time.sleep(0.02)

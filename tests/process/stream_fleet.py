"""Routers, targets as processes of their own, and what breaks them."""

import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import platform_standin as standin
import stream_callers
from edge_process import Edge, configuration, wait_for
from loopback_ports import claim_port
from stream_target import EXIT_PLANNED

TARGETS = 4
DOWN_SECONDS = (0.3, 0.6, 1)  # From the end of a target to its next start.
RESUMABLE_ATTEMPTS = 4  # Sends of one request for a stream that may resume.


class TargetProcess:
    """A target and its row; it is started again whenever it ends."""

    program = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                           "stream_target.py")

    def __init__(self, store, service, name, records):
        self.store = store
        self.name = name
        self.records = records
        self.port = claim_port()
        self.row = {"service": service, "address": f"127.0.0.1:{self.port}",
                    "zone": "west", "version": "v1", "slots": 32,
                    "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1}
        self.ended_at = None
        self.ends = {}  # Time of the end of each process.
        self.start()

    def start(self):
        # A target ends when the end of this pipe closes with this process.
        self.process = subprocess.Popen(
            [sys.executable, self.program, self.name, str(self.port),
             self.records], stdin=subprocess.PIPE)
        self.ended_at = None
        self.row.update(state="ready", born=self.row["born"] + 1)
        self.store.put("servers", self.name, self.row)

    def is_listening(self):
        try:
            socket.create_connection(("127.0.0.1", self.port)).close()
        except OSError:
            return False
        return True

    def leave(self):
        self.row["state"] = "draining"
        self.store.put("servers", self.name, self.row)
        self.process.terminate()

    def revive(self, pause):
        if self.process.poll() is None:
            return
        now = time.monotonic()
        self.process.stdin.close()
        if self.ended_at is None:
            self.ended_at = now
            self.ends[self.process.pid] = time.time()
            if self.process.returncode == EXIT_PLANNED:
                self.store.remove("servers", self.name)
        if now > self.ended_at + pause:
            self.start()


class TargetGroup:
    """Targets of a service, which are started again whenever they end."""

    def __init__(self, store, service, names):
        self.records = tempfile.mkdtemp(prefix="streams")
        self.lock = threading.Lock()  # Held while targets start or stop.
        self.is_over = False
        self.targets = [TargetProcess(store, service, name, self.records)
                        for name in names]
        for target in self.targets:
            wait_for(target.is_listening, "the targets listen")
        threading.Thread(target=self.revive, daemon=True).start()

    def revive(self):
        generator = random.Random(0)
        while not self.is_over:
            with self.lock:
                for target in self.targets:
                    if not self.is_over:
                        target.revive(generator.choice(DOWN_SECONDS))
            time.sleep(0.05)

    def stop(self):
        with self.lock:
            self.is_over = True
            for target in self.targets:
                target.process.kill()
                target.process.wait()
                target.process.stdin.close()
        shutil.rmtree(self.records)

    def runs(self, stream):
        """What the targets recorded of a stream."""
        path = os.path.join(self.records, stream.path.replace("/", "_"))
        if not os.path.exists(path):
            return []
        ends = {pid: end for target in self.targets
                for pid, end in target.ends.items()}
        with open(path, encoding="ascii") as file:
            runs = [json.loads(line) for line in file]
        return [dict(run, ended_at=ends.get(run["pid"])) for run in runs]

    def check(self, streams):
        time.sleep(0.5)  # Requests that were sent may still run.
        for stream in streams:
            stream.check_runs(self.runs(stream))

    def kill_one(self, generator):
        generator.choice(self.targets).process.kill()

    def stop_one(self, generator):
        generator.choice(self.targets).leave()

    def pause_one(self, generator):
        pause(generator.choice(self.targets).process,
              generator.uniform(0.1, 2))


def pause(process, seconds):
    process.send_signal(signal.SIGSTOP)
    timer = threading.Timer(seconds,
                            lambda: process.send_signal(signal.SIGCONT))
    timer.daemon = True
    timer.start()


class Fleet:
    """Routers, targets and callers of one seed."""

    def __init__(self, seed, seconds, routers=None, targets=TARGETS):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.routers = routers or self.random.randint(2, 4)
        self.target_names = [f"t{i}" for i in range(targets)]
        self.store = standin.Store()
        document = configuration(1)
        for route in document["routes"]:
            if route["prefix"] == "/stream/":
                route["max-attempts"] = RESUMABLE_ATTEMPTS
        self.store.put("op", "config", document)
        self.edges = []
        self.faults = collections.Counter()
        self.lines = []  # Log of routers that ended.
        self.lock = threading.Lock()  # Held while processes start or stop.
        self.is_over = False

    def __enter__(self):
        self.targets = TargetGroup(self.store, "s", self.target_names)
        self.edges = [Edge(self.store, f"e{i}") for i in range(self.routers)]
        for edge in self.edges:
            wait_for(edge.is_ready, "the routers are ready")
        return self

    def __exit__(self, *_):
        with self.lock:
            self.is_over = True
            for edge in self.edges:
                self.lines.extend(edge.lines)
                edge.stop()
        self.targets.stop()
        self.store.stop()

    def choose_router(self, generator, other):
        ports = [edge.caller for edge in self.edges if edge.caller != other]
        return generator.choice(ports or [other])

    def run(self, callers, draw_stream):
        """Returns the checked streams of that many callers."""
        until = time.monotonic() + self.seconds
        callers = [stream_callers.Caller(
            f"c{i}", self.random.random(), self.choose_router, draw_stream,
            lambda: time.monotonic() > until) for i in range(callers)]
        for caller in callers:
            caller.start()
        while time.monotonic() < until:
            fault = self.random.choice((
                self.kill_router, self.stop_router, self.pause_router,
                self.reload_router, self.kill_target, self.stop_target,
                self.pause_target))
            self.faults[fault.__name__] += 1
            fault()
            time.sleep(self.random.uniform(0, 1))
        for caller in callers:
            caller.join(timeout=stream_callers.CALL_TIMEOUT * 2)
        streams = [stream for caller in callers for stream in caller.streams
                   if stream.attempts]
        self.targets.check(streams)
        return streams

    def end_router(self, signal_number):
        edge = self.random.choice(self.edges)
        process = edge.process
        process.send_signal(signal_number)

        def start_again():
            process.wait()
            with self.lock:
                if not self.is_over and edge.process is process:
                    self.lines.extend(edge.lines)
                    edge.start(self.store)
        threading.Thread(target=start_again, daemon=True).start()

    def kill_router(self):
        self.end_router(signal.SIGKILL)

    def stop_router(self):
        self.end_router(signal.SIGTERM)

    def pause_router(self):
        pause(self.random.choice(self.edges).process,
              self.random.uniform(0.1, 2))

    def reload_router(self):
        self.random.choice(self.edges).process.send_signal(signal.SIGHUP)

    def kill_target(self):
        self.targets.kill_one(self.random)

    def stop_target(self):
        self.targets.stop_one(self.random)

    def pause_target(self):
        self.targets.pause_one(self.random)

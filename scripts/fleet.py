"""Starts a small fleet on loopback: stand-ins and routers as processes.

Used by the demonstration, the process tests and the measurements. Stops only
processes that it has started.
"""

import hashlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from loopback_ports import claim_port  # noqa: E402

OPERATOR_KEY = "operator-key-of-the-demonstration"
FLEET_KEY = "fleet-key-of-the-demonstration"


def call(address, method, path, body="", headers=None, timeout=30):
    """Makes one HTTP request; returns (status, headers, body bytes)."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Polls a condition; raises if it does not hold within the time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"not within {seconds} s: {what}")


class Router:
    """Addresses and process of one router."""

    def __init__(self, name, data_center, ports):
        self.name = name
        self.data_center = data_center
        self.caller, self.operator, self.gossip = (
            f"127.0.0.1:{port}" for port in ports)
        self.process = None


class Fleet:
    """Starts and stops the processes of one fleet.

    `build` is the build directory, `slots` the slots of each engine,
    `router_flags` are further flags of each router. Routers and targets are
    spread over `data_centers` in turn.
    """

    def __init__(self, build, routers=4, data_centers=("west", "east"),
                 engines=6, services=1, slots=8, token_gap_us=5000,
                 separate_engine_processes=False, router_flags=(),
                 region="north"):
        self.build = build
        self.region = region
        self.router_flags = list(router_flags)
        self.directory = tempfile.mkdtemp(prefix="papayaplank-")
        self.processes = []
        ports = [claim_port()
                 for _ in range(1 + engines + services + 3 * routers)]
        self.platform = f"127.0.0.1:{ports.pop()}"
        self.engines = [f"127.0.0.1:{ports.pop()}" for _ in range(engines)]
        self.services = [f"127.0.0.1:{ports.pop()}" for _ in range(services)]
        self.routers = [
            Router(f"r{i}", data_centers[i % len(data_centers)],
                   [ports.pop() for _ in range(3)]) for i in range(routers)
        ]
        self.data_centers = data_centers
        self.slots = slots
        self.token_gap_us = token_gap_us
        self.separate_engine_processes = separate_engine_processes
        self.process_by_address = {}

    def instances(self, leaving=()):
        """The instance list as JSON text; `leaving` names leaving targets."""
        targets = []
        for i, address in enumerate(self.engines):
            targets.append(self._target(f"engine-{i}", address, i, "model-a",
                                        "engine", self.slots, leaving))
        for i, address in enumerate(self.services):
            targets.append(self._target(f"service-{i}", address, i, "desk",
                                        "service", 16, leaving))
        routers = [{"gossip_address": each.gossip} for each in self.routers]
        return json.dumps({"targets": targets, "routers": routers})

    def _target(self, name, address, index, pool, kind, slots, leaving):
        return {
            "id": name, "address": address, "pool": pool, "kind": kind,
            "slots": slots, "region": self.region,
            "data_center": self.data_centers[index % len(self.data_centers)],
            "state": "leaving" if name in leaving else "live",
        }

    def _spawn(self, arguments, log):
        path = os.path.join(self.directory, log)
        with open(path, "ab") as output:
            process = subprocess.Popen(arguments, stdout=output, stderr=output)
        self.processes.append(process)
        return process

    def start_standins(self):
        """Starts the stand-ins of platform, engines and services."""
        path = os.path.join(self.directory, "instances.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.instances())
        program = os.path.join(self.build, "standins/papayaplank_standin")
        common = [f"--engine_slots={self.slots}",
                  f"--token_gap_us={self.token_gap_us}"]
        self._spawn([program, f"--platform={self.platform}",
                     f"--instances={path}"], "platform.log")
        groups = [[each] for each in self.engines] \
            if self.separate_engine_processes else [self.engines]
        for group in groups:
            if not group:
                continue
            process = self._spawn(
                [program, "--engines=" + ",".join(group)] + common,
                "engines.log")
            for address in group:
                self.process_by_address[address] = process
        if self.services:
            self._spawn([program, "--services=" + ",".join(self.services)],
                        "services.log")
        wait_until(lambda: self.responds(self.platform, "/admin/counts"), 10,
                   "the platform stand-in answers")

    @staticmethod
    def responds(address, path):
        """Returns whether a GET is answered with 200 within a second."""
        try:
            return call(address, "GET", path, timeout=1)[0] == 200
        except OSError:
            return False

    def start_router(self, router):
        """Starts one router process."""
        seeds = ",".join(each.gossip for each in self.routers[:3])
        environment = dict(os.environ,
                           PAPAYAPLANK_OPERATOR_KEY=OPERATOR_KEY,
                           PAPAYAPLANK_FLEET_KEY=FLEET_KEY)
        path = os.path.join(self.directory, router.name + ".log")
        with open(path, "ab") as output:
            router.process = subprocess.Popen(
                [os.path.join(self.build, "apps/papayaplank_router"),
                 f"--name={router.name}",
                 f"--data_center={router.data_center}",
                 f"--region={self.region}",
                 f"--caller_address={router.caller}",
                 f"--operator_address={router.operator}",
                 f"--gossip_address={router.gossip}",
                 f"--seeds={seeds}",
                 f"--table_address={self.platform}",
                 f"--object_address={self.platform}",
                 f"--instance_list_address={self.platform}",
                 "--drain_seconds=1"] + self.router_flags,
                stdout=output, stderr=output, env=environment)
        self.processes.append(router.process)

    def start(self, routers=None):
        """Starts all processes; waits until each router lists all routers."""
        self.start_standins()
        for router in routers or self.routers:
            self.start_router(router)
        for router in routers or self.routers:
            wait_until(lambda r=router: self.responds(r.caller, "/healthz"),
                       10, f"{router.name} is up")
        count = len(routers or self.routers)
        for router in routers or self.routers:
            wait_until(
                lambda r=router: len(self.status(r)["members"]) == count, 20,
                f"{router.name} lists all members")

    def ctl(self, *arguments, check=True, router=None):
        """Runs papayaplankctl; returns its completed process."""
        environment = dict(
            os.environ, PAPAYAPLANK_OPERATOR_KEY=OPERATOR_KEY,
            PAPAYAPLANK_ROUTER=(router or self.routers[0]).operator)
        result = subprocess.run(
            [os.path.join(self.build, "apps/papayaplankctl"), *arguments],
            env=environment, capture_output=True, text=True, timeout=600,
            check=False)
        if check and result.returncode != 0:
            raise AssertionError(f"papayaplankctl {arguments}: "
                                 f"{result.returncode} {result.stderr}")
        return result

    def submit(self, change, base, wait=15, router=None):
        """Submits a change document that is based on version `base`; waits at
        most `wait` seconds until it is in force."""
        path = os.path.join(self.directory, f"change-{base}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(change, file)
        return self.ctl("submit", f"--file={path}", f"--base={base}",
                        f"--wait_seconds={wait}", router=router)

    def status(self, router):
        """Status of a router as JSON; no members if it does not answer."""
        result = self.ctl("status", "--output=json", check=False,
                          router=router)
        if result.returncode != 0:
            return {"members": [], "pools": []}
        return json.loads(result.stdout)

    def metrics(self, router):
        """Metrics of a router as a map from name with labels to value."""
        _, _, body = call(router.operator, "GET", "/metrics",
                          headers={"Authorization": f"Bearer {OPERATOR_KEY}"})
        values = {}
        for line in body.decode().splitlines():
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
        return values

    def inject_fault(self, address, **fault):
        """Makes a stand-in inject faults; see standins/fault_plan.h."""
        call(address, "POST", "/admin/fault", json.dumps(fault))

    def stop(self):
        """Stops all processes; returns the routers' exit codes."""
        for process in self.processes:
            if process.poll() is None:
                # A paused process would not handle SIGTERM.
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        codes = {}
        for process in self.processes:
            try:
                codes[process.pid] = process.wait(timeout=30)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[process.pid] = process.wait()
        return [codes[each.process.pid] for each in self.routers
                if each.process is not None]


def key_of(customer):
    """API key of a customer of the fleet."""
    return f"key-of-{customer}"


def key_hash(customer):
    """Hash of a customer's API key, for `key_hashes` of its document."""
    return hashlib.sha256(key_of(customer).encode()).hexdigest()


def demo_template():
    """Template with four classes: report, advice, capture and lookup."""
    return {
        "name": "workshop",
        "parameters": [{"name": "weight", "type": "number", "minimum": 1,
                        "maximum": 10, "default": 1}],
        "weight": {"parameter": "weight"},
        "limits": {"requests_per_second": 1000, "burst": 1000,
                   "queued_requests": 1000},
        "classes": [
            {"name": "report", "match": {"class_header": "report",
                                         "path_prefix": "/v1/"},
             "interactive": False, "idempotent": True, "deadline_ms": 60000,
             "retries": 3, "cost_hint": 40},
            {"name": "advice", "match": {"path_prefix": "/v1/"},
             "interactive": True, "idempotent": True, "deadline_ms": 30000,
             "retries": 3, "cost_hint": 10},
            {"name": "capture", "match": {"method": "POST",
                                          "path_prefix": "/desk/capture"},
             "pool": "desk", "interactive": True, "idempotent": False,
             "deadline_ms": 10000, "retries": 2, "cost_hint": 1},
            {"name": "lookup", "match": {"path_prefix": "/desk/"},
             "pool": "desk", "interactive": True, "idempotent": True,
             "deadline_ms": 10000, "retries": 2, "cost_hint": 1},
        ],
    }


def demo_change(customers):
    """First change document: the template and customers with their weights."""
    return {
        "format": 1,
        "templates": [demo_template()],
        "customers": [
            {"name": name, "template": "workshop",
             "parameters": {"weight": weight}, "key_hashes": [key_hash(name)]}
            for name, weight in customers.items()
        ],
    }

"""Soak test: injects faults around real routers and checks their guarantees.

    soak.py BUILD --seeds 1-50 [--seconds 8] [--routers 3]
    soak.py BUILD --fresh 180         random seeds, for 180 seconds

A seed decides callers, faults and their times; the scheduling of processes and
threads is not reproducible. The results at the callers and at the targets are
checked against the guarantees of docs/RULES.md; the exit code is 1 if one was
violated.
"""

import argparse
import http.client
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, route, wait_for  # noqa: E402
from fault_link import FaultLink  # noqa: E402
from fragile_target import FATAL_PART, FragileTarget  # noqa: E402
from seed_ranges import parse_seeds  # noqa: E402
from soak_callers import CALL_TIMEOUT, Caller, prompt  # noqa: E402
from store_drill import StoreDrill  # noqa: E402
from stream_callers import NOT_EXECUTED_STATUSES  # noqa: E402
from stream_callers import Caller as StreamCaller  # noqa: E402
from stream_fleet import (RESUMABLE_ATTEMPTS, TargetGroup,  # noqa: E402
                          pause)
from stream_plans import draw_stream  # noqa: E402

# Seeds that failed before, each with its cause; every run repeats them.
REGRESSION_SEEDS = {}
CALLERS = 8
FATAL_GAP = 0.25  # Seconds between two requests with it.
# The users allow three requests with the part later than this after five ends.
CONTACT_SECONDS = 3
ALLOWED_AFTER_BOUND = 3
# Callers with raw sockets, and targets as processes of their own.
STREAM_HOST = "streams.example"
STREAM_CALLERS = 6
STREAM_TARGETS = 3
MOST_IN_SERIES = 5  # Faults that follow each other without a pause.
TARGETS = 4
# The users allow 1.5 times a limit and 5 requests in 4 s, from this long after
# it was first named.
LIMIT_WINDOW = 4
LIMIT_FACTOR = 1.5
LIMIT_EXCESS = 5
LIMITS = ("0", "0.5", "3", "12.5", "many")  # The last one can't be read.
# The users' bounds: from when a target has said that it leaves, and from when
# it has asked for a pause, in which two requests of a router are allowed.
DRAIN_SECONDS = 3
REACTION_SECONDS = 0.5
ALLOWED_IN_PAUSE = 2
PAUSES = ("0", "0.4", "1", "2.5")
REVOCATION_BOUND = 5  # Seconds; the router's default.
TARGET_FAULTS = ("lost", "shed", "reset", "truncated", "crossed", "extra",
                 "cut", "error", "slow")


class Soak:
    """The routers (`edges`), faults and results of one seed."""

    def __init__(self, seed, routers, seconds):
        self.seed = seed
        self.random = random.Random(seed)
        self.together = random.Random(f"together {seed}")
        self.seconds = seconds
        self.is_over = False
        self.version = 1
        self.keys = ["key-1", "key-2"]
        self.revoked = {}  # Key -> time at which the store no longer had it.
        self.store = standin.Store()
        self.drill = StoreDrill(self.store, seed)
        self.publish()
        self.targets = []
        self.ends = []  # Times at which targets ended on the fatal part.
        self.fatal_runs = []  # Times at which requests with it reached targets.
        self.targets = [FragileTarget(self, f"t{i}") for i in range(TARGETS)]
        self.target_links = [target.link for target in self.targets]
        self.stream_targets = TargetGroup(
            self.store, "streams", [f"p{i}" for i in range(STREAM_TARGETS)])
        self.store_links = [FaultLink(self.store.address)
                            for _ in range(routers)]
        self.edges = [Edge(link, f"e{i}")
                      for i, link in enumerate(self.store_links)]
        # Held while a router is started or all are stopped.
        self.lock = threading.Lock()
        self.is_stopped = False
        self.faults, self.violations = [], []

    def choose_key(self, generator):
        """A valid, revoked or unknown key."""
        return generator.choice(self.keys + list(self.revoked) + ["stolen"])

    def publish(self, keys=None):
        document = configuration(
            self.version, keys=keys or self.keys,
            extra=[route(f"/new{self.version}/", "idempotent")])
        document["services"].append({"name": "streams", "max-conns": 100})
        document["routes"] += [
            dict(row, name="streams" + row["name"], host=STREAM_HOST,
                 service="streams", **{"max-attempts": RESUMABLE_ATTEMPTS})
            for row in document["routes"] if "once" in row["prefix"]
            or row["prefix"] in ("/read/", "/write/", "/stream/")]
        self.store.put("op", "config", document)

    def run(self):
        try:
            for edge in self.edges:
                wait_for(edge.is_ready, "the routers are ready")
            callers = [Caller(self, self.random.random())
                       for _ in range(CALLERS)]
            stream_callers = [StreamCaller(
                f"c{i}", self.random.random(), self.choose_port, draw_stream,
                lambda: self.is_over, STREAM_HOST)
                for i in range(STREAM_CALLERS)]
            for caller in callers + stream_callers:
                caller.start()
            self.inject()
            self.end_faults()
            self.check_recovery()
            self.check_limits()
            self.check_leaving_target()
            self.check_pausing_target(callers)
            self.check_fatal_part()
            self.drill.check_changes(self)
            self.is_over = True
            for caller in callers:
                caller.join(timeout=CALL_TIMEOUT + 2)
            self.check([call for caller in callers for call in caller.calls])
            for caller in stream_callers:
                caller.join(timeout=2 * CALL_TIMEOUT)
            self.check_streams([stream for caller in stream_callers
                                for stream in caller.streams])
        finally:
            self.stop()
        return self.violations

    # Faults; several can be in effect at once.

    def inject(self):
        until = time.monotonic() + self.seconds
        self.drill.begin_among(self.seconds, self.faults)
        self.run_later(self.together.uniform(0, 0.8 * self.seconds),
                       self.disturb_all_routers)
        while time.monotonic() < until:
            # Faults of a series overlap, also those of one router.
            for _ in range(self.random.choice((1, 1, 1, MOST_IN_SERIES))):
                fault = self.random.choice((
                    self.disturb_store_link, self.disturb_store_link,
                    self.make_store_fail, self.disturb_target_link,
                    self.make_target_fail, self.make_target_fail,
                    self.pause_router, self.kill_router, self.stop_router,
                    self.send_fatal_part, self.name_limit,
                    self.leave, self.ask_for_pause,
                    self.reload_router, self.publish_version, self.revoke_key,
                    self.kill_target, self.stop_target, self.pause_target))
                self.faults.append(fault.__name__)
                fault()
            time.sleep(self.random.uniform(0, 0.5))

    def run_later(self, seconds, action):
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        timer.start()

    def disturb_link(self, link):
        """Resets connections, or sets a fault for 0.2 to 3 seconds."""
        mode = self.random.choice(("delay", "silent", "up", "down", "refuse",
                                   "reset"))
        if mode == "reset":
            return link.reset()
        link.delay = self.random.uniform(0.02, 0.3)
        link.mode = mode
        self.run_later(self.random.uniform(0.2, 3),
                       lambda: setattr(link, "mode", "open"))

    def disturb_store_link(self):
        self.disturb_link(self.random.choice(self.store_links))

    def make_store_fail(self):
        self.store.fault = self.random.choice(("busy", "reset"))
        self.run_later(self.random.uniform(0.2, 3),
                       lambda: setattr(self.store, "fault", None))

    def disturb_target_link(self):
        self.disturb_link(self.random.choice(self.target_links))

    def make_target_fail(self):
        target = self.random.choice(self.targets)
        target.faults = [self.random.choice(TARGET_FAULTS)
                         for _ in range(self.random.randint(1, 8))]

    def name_limit(self):
        target = self.random.choice(self.targets)
        target.limit = self.random.choice(LIMITS)

        def end():
            target.limit = None
        self.run_later(self.random.uniform(0.2, 5), end)

    def leave(self):
        target = self.random.choice(self.targets)
        target.leaving = self.random.choice(("1", "1", "perhaps"))
        self.run_later(self.random.uniform(0.2, 3), target.come_back)

    def ask_for_pause(self):
        target = self.random.choice(self.targets)
        target.pause = self.random.choice(PAUSES)

        def end():
            target.pause = None
        self.run_later(self.random.uniform(0.2, 3), end)

    def choose_router(self):
        return self.random.choice(self.edges)

    def choose_port(self, generator, other):
        ports = [edge.caller for edge in self.edges if edge.caller != other]
        return generator.choice(ports or [other])

    def pause_router(self):
        pause(self.choose_router().process, self.random.uniform(0.1, 3))

    def kill_target(self):
        self.stream_targets.kill_one(self.random)

    def stop_target(self):
        self.stream_targets.stop_one(self.random)

    def pause_target(self):
        self.stream_targets.pause_one(self.random)

    def restart(self, edge, signal_number):
        edge.process.send_signal(signal_number)
        process = edge.process

        def start_again():
            process.wait()
            with self.lock:
                # Another fault may have restarted it already.
                if not self.is_stopped and edge.process is process:
                    edge.start(self.store_links[self.edges.index(edge)])
        threading.Thread(target=start_again, daemon=True).start()

    def disturb_all_routers(self):
        """At the same moment, as it may align what they do by turns."""
        kills = self.together.random() < 0.5
        self.faults.append("kill_all" if kills else "pause_all")
        for edge in self.edges:
            (self.restart(edge, signal.SIGKILL) if kills
             else pause(edge.process, 2))

    def kill_router(self):
        self.restart(self.choose_router(), signal.SIGKILL)

    def stop_router(self):
        self.restart(self.choose_router(), signal.SIGTERM)

    def reload_router(self):
        self.choose_router().process.send_signal(signal.SIGHUP)

    def publish_version(self):
        self.version += 1
        self.publish()

    def revoke_key(self):
        if len(self.keys) < 2:
            return
        self.version += 1
        key = self.keys[-1]
        self.publish(self.keys[:-1])
        self.revoked[key] = time.monotonic()
        self.keys = self.keys[:-1] + [f"key-{self.version + 10}"]
        self.version += 1
        self.publish()

    def send_fatal_part(self):
        """Sends one request with the fatal part, whatever comes of it."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.choose_router().caller, timeout=1)
        try:
            connection.request("POST", "/stream/1", b"x", {
                "Host": "shop.example", "Deadline-Ms": "1000",
                "Attempt-Id": f"fatal{len(self.fatal_runs)}-{time.time()}",
                "Credential": self.keys[0], **prompt("a1", FATAL_PART)})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def end_faults(self):
        self.store.fault = None
        for link in self.store_links + self.target_links:
            link.mode = "open"
        for target in self.targets:
            target.faults = []
            target.limit = None
            target.pause = None
        for edge in self.edges:
            edge.process.send_signal(signal.SIGCONT)

    # Guarantees.

    def check_recovery(self):
        """Checks that every router serves again after the faults."""
        for edge in self.edges:
            def serves():
                if edge.process.poll() is not None:
                    return False
                connection = http.client.HTTPConnection(
                    "127.0.0.1", edge.caller, timeout=CALL_TIMEOUT)
                try:
                    connection.request("POST", "/read/1", b"x", {
                        "Host": "shop.example", "Deadline-Ms": "6000",
                        "Attempt-Id": "service", "Credential": self.keys[0],
                        **prompt("a1")})
                    return connection.getresponse().status == 200
                except (OSError, http.client.HTTPException):
                    return False
                finally:
                    connection.close()
            try:
                wait_for(serves, f"{edge.name} serves after the faults")
            except AssertionError as error:
                self.violations.append(str(error))

    def check_limits(self):
        """Checks that limits are kept while routers end and start."""
        time.sleep(5.5)  # Limits that were named during the faults end.
        limit = 3
        for target in self.targets:
            target.limit = str(limit)
        began_at = time.monotonic()
        for _ in range(3):
            time.sleep(CONTACT_SECONDS)
            self.kill_router()
        allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW + LIMIT_EXCESS
        for target in self.targets:
            arrivals = [at for at in target.arrivals
                        if at > began_at + CONTACT_SECONDS]
            most = max((sum(at <= other <= at + LIMIT_WINDOW
                            for other in arrivals) for at in arrivals),
                       default=0)
            if most > allowed:
                self.violations.append(
                    f"{target.name} got {most} requests in {LIMIT_WINDOW} s, "
                    f"{allowed} are allowed")
            target.limit = None
        self.check_recovery()

    def check_leaving_target(self):
        """Checks that a target which says it leaves gets nothing more, though
        the store lists it as ready."""
        time.sleep(3.5)  # Targets that left during the faults are back.
        target = self.random.choice(self.targets)
        target.leaving = "1"
        time.sleep(DRAIN_SECONDS)
        bound = time.monotonic()
        time.sleep(2)
        late = [at for at, _ in list(target.requests) if at > bound + 0.2]
        if late:
            self.violations.append(f"{len(late)} requests reached "
                                   f"{target.name}, which had said it leaves")
        target.come_back()

    def check_pausing_target(self, callers):
        """Checks that a target which asks for a pause gets it."""
        target = self.random.choice(self.targets)
        begin = time.monotonic()
        target.pause = "2"
        time.sleep(5)
        target.pause = None
        ports = {call.id: call.port for caller in callers
                 for call in list(caller.calls)}
        most = target.most_in_a_pause(begin, REACTION_SECONDS, ports)
        if most > ALLOWED_IN_PAUSE:
            self.violations.append(f"{most} requests reached {target.name} in "
                                   "a pause that it had asked for")

    def check_fatal_part(self):
        """Checks that the fatal part is held back, and others are not."""
        began_at = time.monotonic()
        statuses = []
        while time.monotonic() < began_at + 2.5 * CONTACT_SECONDS:
            statuses.append(self.send_fatal_part())
            time.sleep(FATAL_GAP)
        ends = [end for end in self.ends if end >= began_at]
        if len(ends) >= 5:
            late = [run for run in self.fatal_runs
                    if run > ends[4] + CONTACT_SECONDS]
            if len(late) > ALLOWED_AFTER_BOUND:
                self.violations.append(
                    f"{len(late)} requests with the fatal part were sent to "
                    f"targets later than the bound; {len(ends)} ended")
        if statuses[-1] != 503:
            self.violations.append("the fatal part was answered with "
                                   f"{statuses[-1]} at the end")
        self.check_recovery()

    def check(self, calls):
        runs = {}
        for target in self.targets:
            for request, first_event in target.runs:
                runs.setdefault(request, []).append((target.name, first_event))
        for call in calls:
            for violation in self.violations_of(call, runs.get(call.id, [])):
                self.violations.append(f"{call.id} {call.kind}: {violation}")

    def check_streams(self, streams):
        streams = [stream for stream in streams if stream.attempts]
        self.stream_targets.check(streams)
        for stream in streams:
            self.violations.extend(
                f"{stream.path} {kind}: {what}, plans "
                f"{json.dumps(stream.plans)}, runs "
                f"{json.dumps(self.stream_targets.runs(stream))}"
                for kind, what in stream.violations)

    def violations_of(self, call, runs):
        """Violated guarantees; `runs` lists (target, first event) per run."""
        if call.runs_once and len(runs) > 1:
            yield f"ran {len(runs)} times, {runs}"
        if call.status in NOT_EXECUTED_STATUSES and call.runs_once and runs:
            yield f"answered {call.status} although it ran, {runs}"
        if call.key == "stolen" and runs:
            yield "ran with a key that no configuration held"
        if call.status == 401 and call.key in self.keys[:1]:
            yield "refused although its key was never revoked"
        revoked_at = self.revoked.get(call.key)
        if revoked_at and runs and (call.sent_at >
                                    revoked_at + REVOCATION_BOUND):
            yield "ran with a revoked key"
        if call.status != 200:
            return
        if not call.is_signed or call.answered_id != call.id:
            yield f"got an answer of {call.answered_id}"
        if call.kind in ("read", "write"):
            if call.body != b"answer to " + call.id.encode():
                yield f"got another body: {call.body[:60]}"
            return
        numbers = [int(line[4:]) for line in call.body.decode().splitlines()
                   if line.startswith("id: ")]
        if numbers != list(range(1, 11)):
            yield f"got events {numbers}"

    def stop(self):
        self.is_over = True
        with self.lock:
            self.is_stopped = True
            for edge in self.edges:
                edge.stop()
        self.stream_targets.stop()
        for server in [self.store, *self.targets, *self.store_links,
                       *self.target_links]:
            server.stop()


def run_seed(seed, options):
    soak = Soak(seed, options.routers, options.seconds)
    violations = soak.run()
    verdict = "violated" if violations else "kept"
    print(f"seed {seed}: {verdict}, {len(soak.faults)} faults", flush=True)
    for line in violations[:10]:
        print("    " + line)
    if violations:
        print("    faults: " + " ".join(soak.faults))
    return not violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1-2", help="such as 1-50 or 3,7")
    parser.add_argument("--fresh", type=float, default=0,
                        help="seconds to run with random seeds")
    parser.add_argument("--seconds", type=float, default=6,
                        help="seconds of faults per seed")
    parser.add_argument("--routers", type=int, default=3)
    options = parser.parse_args()
    Edge.program = os.path.join(options.build, "apps/papayaplank_edge")
    results = []
    if options.fresh:
        until = time.monotonic() + options.fresh
        while time.monotonic() < until:
            results.append(run_seed(random.randrange(1 << 32), options))
    else:
        for seed in [*REGRESSION_SEEDS, *parse_seeds(options.seeds)]:
            results.append(run_seed(seed, options))
    print(f"{results.count(True)} of {len(results)} seeds kept all guarantees")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

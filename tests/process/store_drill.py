"""The drill of the store: away for a moment, then back from an older copy, while
the operator and the targets write again what is lost."""

import http.client
import random
import signal
import threading
import time

COPY_SECONDS = 0.25      # Between two copies.
KEPT_COPIES = 40
WRITE_AGAIN_SECONDS = 2  # Within which all is written again.
OUTSIDE_TABLES = ("op", "servers")  # The routers don't write these.
LOST_WATCHES = ("refused", "empty", "waiting")
LOST_VERSIONS = 40
# The users' bounds: from when a change is acknowledged until it is in force, and
# from the return of the store until its acknowledgements count.
CHANGE_SECONDS = 2
CONTACT_SECONDS = 3
DENIALS = (401, 403, 404)


class StoreDrill:
    """Drills of a stand-in at seeded times. One that would begin within another
    is left out."""

    def __init__(self, store, seed):
        self.store = store
        self.random = random.Random(f"drill {seed}")
        self.change_random = random.Random(f"changes after a drill {seed}")
        store.lost_watch = self.change_random.choice(LOST_WATCHES)
        self.copies = []
        self.lock = threading.Lock()  # Held during a drill.
        store.era = 1
        threading.Thread(target=self._copy, daemon=True).start()

    def _copy(self):
        while True:
            with self.lock:
                self.copies = [*self.copies[-KEPT_COPIES:], self.store.copy()]
            time.sleep(COPY_SECONDS)

    def begin_among(self, seconds, faults):
        """Begins a few drills within the time; adds them to `faults`."""
        for _ in range(self.random.choice((0, 1, 1, 2))):
            timer = threading.Timer(
                self.random.uniform(0, seconds), self._run, args=(
                    self.random.uniform(0.05, 1.5), self.random.randint(1, 20),
                    self.random.choice((0, 0, 100)),
                    self.random.uniform(0, WRITE_AGAIN_SECONDS), faults))
            timer.daemon = True
            timer.start()

    def _run(self, away, steps, passed_versions, delay, faults):
        if not self.lock.acquire(blocking=False):
            return
        try:
            faults.append("return_older_store")
            copy = self.copies[-min(steps, len(self.copies))]
            self.store.go_away()
            time.sleep(away)
            with self.store.changed:
                wanted = dict(self.store.rows)
                self.store.come_back(copy, passed_versions)
                returned_at = self.store.version
            time.sleep(delay)
            self._write_again(wanted, returned_at)
            self.copies = [self.store.copy()]
        finally:
            self.lock.release()

    def _write_again(self, wanted, returned_at):
        with self.store.changed:
            names = {*wanted, *self.store.rows}
            for name in names:
                value, version = self.store.rows.get(name, (None, 0))
                if (name[0] not in OUTSIDE_TABLES or version > returned_at or
                        value == wanted.get(name, (None,))[0]):
                    continue
                if wanted.get(name, (None,))[0] is None:
                    self.store.remove(*name)
                else:
                    self.store.put(*name, wanted[name][0])

    def check_changes(self, soak):
        """Checks that changes which are acknowledged after a return, among
        signals, are in force in time at every router."""
        with self.lock:
            copy = self.store.copy()
            for i in range(LOST_VERSIONS):
                self.store.put("op", "other", i)
            time.sleep(1)
            restarted = self.change_random.choice(soak.edges)
            soak.restart(restarted, self.change_random.choice(
                (signal.SIGHUP, signal.SIGKILL, signal.SIGTERM)))
            self.store.go_away()
            time.sleep(self.change_random.uniform(0.05, 1))
            self.store.come_back(copy)
            time.sleep(CONTACT_SECONDS)
            target = self.change_random.choice(soak.targets)
            target.drain()
            soak.publish_version()
            acknowledged = time.monotonic()
            time.sleep(CHANGE_SECONDS)
            for edge in soak.edges:
                path = f"/new{soak.version}/1"
                # Other faults may refuse one of them.
                statuses = [self._ask(edge, path, soak.keys[0])
                            for _ in range(3)]
                is_denied = any(status in DENIALS for status in statuses)
                is_served = 200 in statuses or edge is restarted
                if is_denied or not is_served:
                    soak.violations.append(
                        f"{edge.name} answered {statuses} for a new route")
            time.sleep(CHANGE_SECONDS)
            late = [at for at, _ in list(target.requests)
                    if at > acknowledged + CHANGE_SECONDS]
            if late:
                soak.violations.append(
                    f"{len(late)} requests reached {target.name}, which drains")
            target.row["state"] = "ready"
            target.come_back()

    @staticmethod
    def _ask(edge, path, key):
        """The status; None if the router doesn't answer."""
        connection = http.client.HTTPConnection("127.0.0.1", edge.caller,
                                                timeout=2)
        try:
            connection.request("GET", path, headers={
                "Host": "shop.example", "Credential": key,
                "Attempt-Id": f"change{time.monotonic_ns()}",
                "Deadline-Ms": "1500"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

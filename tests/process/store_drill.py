"""The drill of the store: away for a moment, then back from an older copy, while
the operator and the targets write again what is lost."""

import threading
import time

COPY_SECONDS = 0.25      # Between two copies.
KEPT_COPIES = 40
WRITE_AGAIN_SECONDS = 2  # Within which all is written again.
OUTSIDE_TABLES = ("op", "servers")  # The routers don't write these.


class StoreDrill:
    """Drills of a stand-in at seeded times. One that would begin within another
    is left out."""

    def __init__(self, store, random):
        self.store = store
        self.random = random
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

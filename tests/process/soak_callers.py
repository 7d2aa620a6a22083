"""Callers of the soak that send one request after another."""

import http.client
import random
import threading
import time

CALL_TIMEOUT = 7  # Seconds a caller waits.


class Call:
    """One request of a caller and its answer."""

    def __init__(self, number, kind, key):
        self.id = f"call{number}"
        self.kind = kind
        self.key = key
        self.sent_at = time.monotonic()
        self.port = None  # Of the router.
        self.status = None  # None: no complete answer.
        self.body = b""

    @property
    def runs_once(self):
        return self.kind in ("write", "stream/once")


def prompt(*shared_parts):
    """Headers of a prompt that ends with a part of its own."""
    parts = [*shared_parts, f"{random.getrandbits(60):x}"]
    return {"Token-Counts": "30,10",
            "Prefix-Hash": ",".join(f"{part}:10" for part in parts)}


class Caller(threading.Thread):
    """Sends one request after another, over open connections if possible."""

    numbers = iter(range(1, 1 << 60))

    def __init__(self, soak, seed):
        super().__init__(daemon=True)
        self.soak = soak
        self.random = random.Random(seed)
        self.calls = []
        self.connection = None

    def run(self):
        while not self.soak.is_over:
            kind = self.random.choice(("read", "write", "stream",
                                       "stream/once"))
            call = Call(next(self.numbers), kind,
                        self.soak.choose_key(self.random))
            self.calls.append(call)
            self.send(call)
            time.sleep(self.random.uniform(0, 0.03))

    def send(self, call):
        if self.connection is None or self.random.random() < 0.1:
            self.disconnect()
            edge = self.random.choice(self.soak.edges)
            self.connection = http.client.HTTPConnection(
                "127.0.0.1", edge.caller, timeout=CALL_TIMEOUT)
        call.port = self.connection.port
        try:
            self.connection.request(
                "POST", f"/{call.kind}/1", b"x" * self.random.choice((5, 5000)),
                {"Host": "shop.example", "Attempt-Id": call.id,
                 "Credential": call.key, "Deadline-Ms": "6000",
                 **prompt("a1", call.id.encode().hex()[-4:-2])})
            answer = self.connection.getresponse()
            if self.random.random() < 0.03:
                return self.disconnect()  # The caller leaves.
            call.body = answer.read()
            call.status = answer.status
            call.answered_id = answer.headers["Attempt-Id"]
            call.is_signed = "Runner-Signature" in answer.headers
            if answer.headers["Connection"] == "close":
                self.disconnect()
        except (OSError, http.client.HTTPException):
            self.disconnect()

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

"""Stand-in for a runner. Also a program of its own, which a script can kill:
it then prints one JSON line for each event."""

import json
import sys
import threading
import time

from store import Listener

KEEP_ALIVE_SECONDS = 10


class Runner(Listener):
    """Runs what it is asked for. The body of a request may hold a JSON object:
    `work_ms` until the answer begins, `pieces` and `gap_ms` of the answer,
    `bytes` of its body, `unframed` for an answer that ends with its
    connection."""

    def __init__(self, runner_id, address, on_event=lambda *event: None):
        self.id = runner_id
        self.on_event = on_event
        self.is_leaving = False
        super().__init__(address)

    def serve(self, connection, start, headers, body):
        attempt = headers.get("attempt-id", "")
        if start[0] == "GET" and start[1] == "/healthz":
            connection.sendall(b"HTTP/1.1 200 OK\r\nRunner-Id: %s\r\n"
                               b"Content-Length: 0\r\n\r\n" % self.id.encode())
            return True
        if headers.get("expect-runner", self.id) != self.id:
            connection.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nRunner-Id: %s\r\n"
                b"Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n" %
                (self.id.encode(), attempt.encode()))
            return True
        plan = json.loads(body) if body else {}
        self.on_event("run", self.id, attempt, start[1],
                      headers.get("tenant", ""))
        time.sleep(plan.get("work_ms", 15) / 1000)
        pieces = answer_pieces(attempt, plan)
        head = ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Signature: "
                "%s.%s\r\n" % (attempt, self.id, attempt))
        if self.is_leaving:
            head += "Server-Leaving: 1\r\n"
        if plan.get("events"):
            head += "Content-Type: text/event-stream\r\n"
        if plan.get("unframed"):
            head += "Connection: close\r\n"
        else:
            head += "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n" % (
                KEEP_ALIVE_SECONDS, sum(map(len, pieces)))
        connection.sendall(head.encode() + b"\r\n")
        for piece in pieces:
            connection.sendall(piece)
            time.sleep(plan.get("gap_ms", 0) / 1000)
        self.on_event("done", self.id, attempt)
        return not plan.get("unframed")


def answer_pieces(attempt, plan):
    """The body that a runner sends for a request."""
    count = plan.get("pieces", 1)
    size = plan.get("bytes", 800) // count
    if plan.get("events"):
        return [("id: %d\ndata: %s" % (i + 1, attempt)).encode().ljust(
            size - 2, b".") + b"\n\n" for i in range(count)]
    return [("%s/%d:" % (attempt, i)).encode().ljust(size, b".")
            for i in range(count)]


class Registration:
    """What a runner writes to the store: its row, at each heartbeat."""

    def __init__(self, store, runner_id, address, service, zone,
                 heartbeat=1.2, slots=6):
        self.store, self.id, self.heartbeat = store, runner_id, heartbeat
        self.row = {"service": service, "address": "%s:%d" % address,
                    "zone": zone, "version": "v1", "slots": slots,
                    "state": "ready", "cold-left-ms": 0, "seq": 1,
                    "born": int(time.time() * 1000)}
        self.is_gone = False
        self.lock = threading.Lock()
        self.beat()
        threading.Thread(target=self._run, daemon=True).start()

    def beat(self):
        with self.lock:
            if self.is_gone:
                return None
            self.row["seq"] += 1
            return self.store.write("servers", self.id, self.row)

    def drain(self):
        with self.lock:
            self.row["state"] = "draining"
        return self.beat()

    def leave(self):
        with self.lock:
            self.is_gone = True
            return self.store.remove("servers", self.id)

    def _run(self):
        while not self.is_gone:
            time.sleep(self.heartbeat)
            # A runner that finds the store away tries again soon.
            while self.beat() is None and not self.is_gone:
                time.sleep(0.2)


def main():
    runner_id, ip, port = sys.argv[1:4]
    lock = threading.Lock()

    def report(*event):
        with lock:
            print(json.dumps(event), flush=True)

    runner = Runner(runner_id, (ip, int(port)), report)
    report("up")
    for line in sys.stdin:
        if line.strip() == "leave":
            runner.is_leaving = True


if __name__ == "__main__":
    main()

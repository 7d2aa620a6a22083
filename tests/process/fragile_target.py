"""A target of the soak: one prompt part ends it, and it may name a limit, say
that it leaves, or ask for pauses."""

import threading
import time

import platform_standin as standin
from fault_link import FaultLink

# A part of a prompt that ends the target which begins to answer it.
FATAL_PART = "dead51"
DOWN_SECONDS = 1  # How long a target that ended stays away.


class FragileTarget(standin.Target):
    """Ends on a prompt with the fatal part, and starts again soon after. Unless
    they are None, names `limit`, a text, in its answers, says `leaving` in all
    of them, and turns half of its requests away for `pause` seconds, a text."""

    def __init__(self, soak, name):
        super().__init__(soak.store, name, "s")
        self.soak = soak
        self.link = FaultLink(self.address)
        self.row["address"] = self.link.address
        soak.store.put("servers", name, self.row)
        self.ending = threading.Lock()
        self.limit = None
        self.leaving = None
        self.pause = None
        self.arrivals = []
        self.requests = []  # (time, request id) of each.
        self.pauses = []    # (time, request id, seconds) of each refusal.

    def response_head(self, headers, status=200, extra=b""):
        if self.limit is not None:
            extra += b"Server-Limit: %s\r\n" % self.limit.encode()
        if self.leaving is not None:
            extra += b"Server-Leaving: %s\r\n" % self.leaving.encode()
        return super().response_head(headers, status, extra)

    def turn_away(self, connection, request, pause):
        self.pauses.append((time.monotonic(), request, float(pause)))
        connection.sendall(
            b"HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
            b"Retry-After: %s\r\nContent-Length: 0\r\n\r\n"
            % (request.encode(), pause.encode()))
        return True

    def most_in_a_pause(self, since, reaction_seconds, ports):
        """The most requests from one router, by `ports`, in a pause that it
        was asked for, later than `reaction_seconds` after it was."""
        return max((sum(at + reaction_seconds < other < at + pause
                        and ports.get(name) == ports[request]
                        for other, name in list(self.requests))
                    for at, request, pause in list(self.pauses)
                    if at >= since and request in ports), default=0)

    def come_back(self):
        """A new process of the same name, which does not leave."""
        self.leaving = None
        self.row["born"] += 1
        self.store.put("servers", self.name, self.row)

    def serve(self, connection, start, headers, body):
        self.arrivals.append(time.monotonic())
        self.requests.append((time.monotonic(), headers["attempt-id"]))
        pause = self.pause
        if (pause is not None and len(self.requests) % 2
                and headers.get("expect-runner") == self.name):
            return self.turn_away(connection, headers["attempt-id"], pause)
        if (FATAL_PART not in headers.get("prefix-hash", "") or
                headers.get("expect-runner") != self.name):
            return super().serve(connection, start, headers, body)
        self.soak.fatal_runs.append(time.monotonic())
        connection.sendall(self.response_head(headers) + b"\r\n")
        time.sleep(0.04)
        self.end()
        return False

    def end(self):
        if not self.ending.acquire(blocking=False):
            return  # It has ended already.
        self.soak.ends.append(time.monotonic())
        address = self.link.go_down()
        self.soak.run_later(DOWN_SECONDS, lambda: self.start_again(address))

    def start_again(self, address):
        self.row["born"] += 1
        self.store.put("servers", self.name, self.row)
        self.link.come_up(address)
        self.ending.release()

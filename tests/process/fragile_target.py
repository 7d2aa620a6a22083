"""A target of the soak: one prompt part ends it, and it may name a limit."""

import threading
import time

import platform_standin as standin
from fault_link import FaultLink

# A part of a prompt that ends the target which begins to answer it.
FATAL_PART = "dead51"
DOWN_SECONDS = 1  # How long a target that ended stays away.


class FragileTarget(standin.Target):
    """Ends on a prompt with the fatal part, and starts again soon after; names
    `limit`, a text, in its answers unless it is None."""

    def __init__(self, soak, name):
        super().__init__(soak.store, name, "s")
        self.soak = soak
        self.link = FaultLink(self.address)
        self.row["address"] = self.link.address
        soak.store.put("servers", name, self.row)
        self.ending = threading.Lock()
        self.limit = None
        self.arrivals = []

    def response_head(self, headers, status=200, extra=b""):
        if self.limit is not None:
            extra += b"Server-Limit: %s\r\n" % self.limit.encode()
        return super().response_head(headers, status, extra)

    def serve(self, connection, start, headers, body):
        self.arrivals.append(time.monotonic())
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

"""Callers that keep routers busy, and what each request met on its way."""

import http.client
import itertools
import threading
import time

PATHS = ("/read/1", "/write/1", "/stream/1")


class Call:
    """One request of a caller."""

    def __init__(self, edge, path):
        self.edge = edge
        self.path = path
        self.sent_at = time.monotonic()
        self.answered_at = None
        self.status = 0  # 0 without an answer.
        self.headers = {}


class CallerLoad:
    """Threads that send requests to the routers in `edges`, over kept
    connections, until they are stopped. Each thread has one router and one
    path."""

    def __init__(self, edges, callers, gap=0.02, deadline_ms=6000):
        self.edges = edges
        self.gap = gap
        self.deadline_ms = deadline_ms
        self.calls = {}  # By the id of the request.
        self.numbers = itertools.count()
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(i,))
                        for i in range(callers)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def answered(self, since=0.0, until=float("inf")):
        """Calls that were sent in that time and have an answer."""
        return [call for call in list(self.calls.values())
                if call.answered_at and since <= call.sent_at < until]

    def _run(self, index):
        edge = self.edges[index % len(self.edges)]
        path = PATHS[index // len(self.edges) % len(PATHS)]
        connection = None
        while not self.is_over.is_set():
            connection = connection or http.client.HTTPConnection(
                "127.0.0.1", edge.caller, timeout=20)
            try:
                answer = self._call(connection, edge, path)
                if answer.will_close:
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
            time.sleep(self.gap)
        if connection:
            connection.close()

    def _call(self, connection, edge, path):
        number = next(self.numbers)
        headers = {"Host": "shop.example", "Attempt-Id": f"id{number}",
                   "Credential": "key-1",
                   "Deadline-Ms": str(self.deadline_ms)}
        if path.startswith("/stream/"):
            headers.update({"Token-Counts": "30,10",
                            "Prefix-Hash": f"a1:20,{number + 4096:x}:10"})
        call = self.calls[f"id{number}"] = Call(edge, path)
        connection.request("POST", path, b"x", headers)
        answer = connection.getresponse()
        answer.read()
        call.headers = answer.headers
        call.status = answer.status
        call.answered_at = time.monotonic()
        return answer

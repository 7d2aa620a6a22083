"""A target in a process of its own, so that the kernel closes its connections
when it is killed.

    killable_target.py NAME PORT PLAN

PLAN is a JSON object of the faults that the target injects into its answers:
    "unframed"  answers end with their connection, without length or chunks
    "kill_at"   the process kills itself after it has sent this event, or after
                half of a plain answer
    "exits"     the process exits as soon as it has ended an answer
    "event_gap" seconds from one event to the next
Each run is one line "REQUEST FIRST_EVENT" on standard output.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import edge_process  # noqa: E402,F401  (finds the scripts folder)
from loopback_ports import claim_port  # noqa: E402

EVENTS = 10
EVENT_GAP = 0.02  # Seconds.


class KillableTarget:
    """Starts and ends the process, and holds its row in the store."""

    def __init__(self, store, name, **plan):
        self.store = store
        self.name = name
        self.port = claim_port()
        self.runs = []
        self.row = {"service": "s", "address": f"127.0.0.1:{self.port}",
                    "zone": "west", "version": "v1", "slots": 8,
                    "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1}
        self.start(**plan)
        store.put("servers", name, self.row)

    def start(self, **plan):
        self.process = subprocess.Popen(
            [sys.executable, os.path.abspath(__file__), self.name,
             str(self.port), json.dumps(plan)],
            stdout=subprocess.PIPE, text=True)
        assert self.process.stdout.readline() == "ready\n"
        self.reader = threading.Thread(target=self.read_runs, daemon=True,
                                       args=(self.process.stdout,))
        self.reader.start()

    def read_runs(self, stream):
        with stream:
            for line in stream:
                request, first_event = line.split()
                self.runs.append((request, int(first_event)))

    def drain(self):
        self.row = {**self.row, "state": "draining", "seq": 2}
        self.store.put("servers", self.name, self.row)

    def remove(self):
        self.store.remove("servers", self.name)

    def restart(self, **plan):
        self.stop()
        self.start(**plan)

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.reader.join()


class Process(standin.Server):
    """The target's side; see the head of this file."""

    def __init__(self, name, port, plan):
        self.name = name
        self.plan = plan
        self.listener = socket.create_server(("127.0.0.1", port), backlog=128)
        self.connections = set()

    def serve(self, connection, start, headers, body):
        if headers.get("expect-runner") != self.name:
            connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        first = int(headers.get("last-event-id", 0)) + 1
        print(headers["attempt-id"], first, flush=True)
        connection.sendall(b"HTTP/1.1 200 X\r\nAttempt-Id: %s\r\n"
                           b"Runner-Signature: s\r\n"
                           % headers["attempt-id"].encode())
        is_unframed = self.plan.get("unframed", False)
        if start[1].startswith("/stream/"):
            pieces = [b"id: %d\ndata: event %d\n\n" % (number, number)
                      for number in range(first, EVENTS + 1)]
            kill_after = self.plan.get("kill_at", EVENTS + 1) - first + 1
        else:
            pieces = [b"answer ", b"to " + headers["attempt-id"].encode()]
            kill_after = 1 if "kill_at" in self.plan else 3
        connection.sendall(b"\r\n" if is_unframed
                           else b"Transfer-Encoding: chunked\r\n\r\n")
        for number, piece in enumerate(pieces, 1):
            connection.sendall(piece if is_unframed
                               else b"%x\r\n%s\r\n" % (len(piece), piece))
            time.sleep(self.plan.get("event_gap", EVENT_GAP))
            if number == kill_after:
                os.kill(os.getpid(), signal.SIGKILL)
        if not is_unframed:
            connection.sendall(b"0\r\n\r\n")
        if self.plan.get("exits", False):
            connection.shutdown(socket.SHUT_WR)
            os._exit(0)
        return not is_unframed


if __name__ == "__main__":
    target = Process(sys.argv[1], int(sys.argv[2]), json.loads(sys.argv[3]))
    print("ready", flush=True)
    target.accept()

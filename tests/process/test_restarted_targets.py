"""A test of a target whose process ends within an answer and is replaced at
once under its address, as by a supervisor that forks its worker again."""

import http.client
import os
import signal
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
from edge_process import Edge, configuration, wait_for  # noqa: E402
from loopback_ports import claim_port  # noqa: E402

Edge.program = os.path.join(sys.argv.pop(1), "apps/papayaplank_edge")

CUT_AT = 3  # Last event before the process ends.

# Starts its worker again whenever it has ended; the first one kills itself.
SUPERVISED = """
import os, signal, socket, sys, time
port, cut_at = int(sys.argv[1]), int(sys.argv[2])

def work(is_first):
    listener = socket.create_server(("127.0.0.1", port), backlog=16)
    if is_first:
        print("ready", flush=True)
    while True:
        connection, _ = listener.accept()
        head = b""
        while b"\\r\\n\\r\\n" not in head:
            received = connection.recv(4096)
            if not received:
                break
            head += received
        if not is_first or not head:
            connection.close()
            continue
        request = [line[12:] for line in head.split(b"\\r\\n")
                   if line.lower().startswith(b"attempt-id: ")][0]
        connection.sendall(b"HTTP/1.1 200 X\\r\\nAttempt-Id: " + request +
                           b"\\r\\nRunner-Signature: s\\r\\n\\r\\n")
        for number in range(1, cut_at + 1):
            connection.sendall(b"id: %d\\ndata: x\\n\\n" % number)
        time.sleep(0.3)
        os.kill(os.getpid(), signal.SIGKILL)

is_first = True
while True:
    worker = os.fork()
    if worker == 0:
        work(is_first)
    is_first = False
    os.waitpid(worker, 0)
"""


class RestartedTargetsTest(unittest.TestCase):
    def test_a_target_that_restarts_at_once_did_not_answer_whole(self):
        store = standin.Store()
        self.addCleanup(store.stop)
        store.put("op", "config", configuration(1))
        port = claim_port()
        supervisor = subprocess.Popen(
            [sys.executable, "-c", SUPERVISED, str(port), str(CUT_AT)],
            stdout=subprocess.PIPE, start_new_session=True)
        self.addCleanup(supervisor.stdout.close)
        self.addCleanup(supervisor.wait)
        self.addCleanup(os.killpg, supervisor.pid, signal.SIGKILL)
        self.assertEqual(supervisor.stdout.readline(), b"ready\n")
        store.put("servers", "t0", {
            "service": "s", "address": f"127.0.0.1:{port}", "zone": "west",
            "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
            "seq": 1, "born": 1})
        edge = Edge(store, "e0")
        self.addCleanup(edge.stop)
        wait_for(edge.is_ready, "the router is ready")
        caller = http.client.HTTPConnection("127.0.0.1", edge.caller,
                                            timeout=20)
        self.addCleanup(caller.close)
        caller.request("POST", "/stream/once/1", b"x", {
            "Host": "shop.example", "Attempt-Id": "id1",
            "Credential": "key-1", "Deadline-Ms": "6000"})
        answer = caller.getresponse()
        self.assertEqual(answer.status, 200)
        with self.assertRaises(http.client.IncompleteRead):
            answer.read()


if __name__ == "__main__":
    unittest.main()

"""Tests that no other process takes a claimed port before a server listens.

Guards against "Address already in use" at the start of a router: free ports
were once found by binding a socket and closing it, and a parallel test or an
outgoing connection took the port before the router listened.
"""

import json
import os
import socket
import subprocess
import sys
import unittest

SCRIPTS = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                       "../../scripts")
sys.path.insert(0, SCRIPTS)
import loopback_ports  # noqa: E402

CLAIMS = 20  # Ports that each process claims.
PROCESSES = 4
# A program that claims argv[3] of the last argv[2] candidates, prints them and
# waits.
CLAIMER = """
import sys
sys.path.insert(0, sys.argv[1])
import loopback_ports
ports = loopback_ports.candidate_ports()[-int(sys.argv[2]):]
print([loopback_ports.claim_port(ports) for _ in range(int(sys.argv[3]))],
      flush=True)
sys.stdin.read()
"""


class LoopbackPorts(unittest.TestCase):

    def test_kernel_gives_claimed_ports_to_nobody(self):
        with open(loopback_ports.EPHEMERAL_RANGE_PATH, encoding="ascii") as file:
            first, last = map(int, file.read().split())
        for _ in range(CLAIMS):
            port = loopback_ports.claim_port()
            self.assertFalse(first <= port <= last, port)

    def test_parallel_processes_claim_different_ports(self):
        processes = [subprocess.Popen(
            [sys.executable, "-c", CLAIMER, SCRIPTS,
             str(4 * CLAIMS * PROCESSES), str(CLAIMS)], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True) for _ in range(PROCESSES)]
        ports = []
        for process in processes:
            ports += json.loads(process.stdout.readline())
        for process in processes:
            process.communicate()
        self.assertEqual(CLAIMS * PROCESSES, len(ports))
        self.assertEqual(len(ports), len(set(ports)))

    def test_claim_passes_over_a_port_in_use(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            taken, free = (loopback_ports.claim_port() for _ in range(2))
            with socket.socket(socket.AF_INET, kind) as server:
                server.bind(("127.0.0.1", taken))
                self.assertFalse(loopback_ports.is_free(taken))
                self.assertTrue(loopback_ports.is_free(free))

    def test_no_candidate_left(self):
        port = loopback_ports.claim_port()
        with self.assertRaises(RuntimeError):
            loopback_ports.claim_port([port])


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])

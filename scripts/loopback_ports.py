"""Loopback ports for the processes of tests and demonstrations.

A port stays claimed until the claiming process ends: it lies outside the range
from which the kernel gives ports to outgoing connections and to binds of port
0, and processes that run at the same time never claim the same one.
"""

import os
import socket

LOWEST_PORT = 10000  # Servers of the machine usually listen below.
HIGHEST_PORT = 65535
EPHEMERAL_RANGE_PATH = "/proc/sys/net/ipv4/ip_local_port_range"

# Sockets that hold the claims; the kernel closes them with the process.
_claims = []


def candidate_ports():
    """Returns the ports that the kernel never chooses by itself."""
    with open(EPHEMERAL_RANGE_PATH, encoding="ascii") as file:
        first, last = map(int, file.read().split())
    return [port for port in range(LOWEST_PORT, HIGHEST_PORT + 1)
            if not first <= port <= last]


def is_free(port):
    """Returns whether nothing is bound to the port, for TCP and for UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def claim_port(ports=None):
    """Claims a free port of `ports`, by default of all candidates.

    Raises RuntimeError if none is free.
    """
    ports = candidate_ports() if ports is None else ports
    start = os.getpid() * 97  # Parallel processes rarely try the same ports.
    for i in range(len(ports)):
        port = ports[(start + i) % len(ports)]
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            # One process at a time can bind an abstract name.
            claim.bind(f"\0papayaplank-loopback-port-{port}")
        except OSError:
            claim.close()
            continue
        if is_free(port):
            _claims.append(claim)
            return port
        claim.close()
    raise RuntimeError(f"no free loopback port among {len(ports)} candidates")

"""A loopback proxy that delays, resets or blocks the traffic of connections."""

import socket
import struct
import threading
import time

from platform_standin import Server


class FaultLink(Server):
    """Forwards connections to `upstream` ("IP:PORT").

    `mode` is "open", "delay" (each block waits `delay` seconds), "silent" (no
    byte passes in either direction), "up" or "down" (no byte passes to or from
    the upstream), or "refuse" (new connections are reset).
    """

    def __init__(self, upstream):
        host, port = upstream.split(":")
        self.upstream = (host, int(port))
        self.mode = "open"
        self.delay = 0.0
        super().__init__()

    def run(self, connection):
        if self.mode == "refuse":
            return self.reset_connection(connection)
        try:
            remote = socket.create_connection(self.upstream, timeout=5)
        except OSError:
            return self.reset_connection(connection)
        remote.settimeout(None)
        self.connections.add(remote)
        threading.Thread(target=self.forward, daemon=True,
                         args=(remote, connection, "down")).start()
        self.forward(connection, remote, "up")

    def forward(self, source, destination, direction):
        try:
            while True:
                data = source.recv(65536)
                if self.mode == "delay":
                    time.sleep(self.delay)
                while self.mode in ("silent", direction):
                    time.sleep(0.02)  # Bytes are held until the fault ends.
                if not data:
                    destination.shutdown(socket.SHUT_WR)
                    return
                destination.sendall(data)
        except OSError:
            self.reset_connection(source)
            self.reset_connection(destination)

    def reset(self):
        """Resets all open connections."""
        for connection in list(self.connections):
            self.reset_connection(connection)

    def reset_connection(self, connection):
        self.connections.discard(connection)
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # It was closed already.
        connection.close()

    def go_down(self):
        """Resets all connections, and refuses new ones until `come_up`."""
        address = self.listener.getsockname()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset()
        return address

    def come_up(self, address):
        self.listener = socket.create_server(address, backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.listener.close()
        self.reset()

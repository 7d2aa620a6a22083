"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import socket
import struct
import threading
import time

from platform_standin import Server


class FaultLink(Server):
    """Forwards connections to `upstream` ("IP:PORT").

    `mode` is "open", "delay", "silent" (no byte passes either way), "up" or
    "down" (no byte passes that way), or "refuse" (new ones are reset).
    """

    def __init__(self, upstream):
        host, port = upstream.split(":")
        self.upstream = (host, int(port))
        self.mode = "open"
        self.delay = 0.0
        super().__init__()

    def run(self, connection):
        if self.mode == "refuse":
            return self.close_hard(connection)
        try:
            far = socket.create_connection(self.upstream, timeout=5)
        except OSError:
            return self.close_hard(connection)
        far.settimeout(None)
        self.open.add(far)
        threading.Thread(target=self.forward, daemon=True,
                         args=(far, connection, "down")).start()
        self.forward(connection, far, "up")

    def forward(self, source, sink, way):
        try:
            while True:
                data = source.recv(65536)
                if self.mode == "delay":
                    time.sleep(self.delay)
                while self.mode in ("silent", way):
                    time.sleep(0.02)  # Bytes are kept until the cut heals.
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            self.close_hard(source)
            self.close_hard(sink)

    def reset(self):
        """Resets all open connections."""
        for connection in list(self.open):
            self.close_hard(connection)

    def close_hard(self, connection):
        self.open.discard(connection)
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # It was closed meanwhile.
        connection.close()

    def stop(self):
        self.listener.close()
        self.reset()

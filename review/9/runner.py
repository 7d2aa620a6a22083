"""A runner as a process of its own, for case 9.

It answers streams without a length: each ends with its connection. It reads
commands from its standard input. After "drain" it reports `draining` in its
answers, keeps serving for the seconds that the command names, ends the
requests that it has, and then exits.
"""

import os
import socket
import sys
import threading
import time

EVENTS = 64


class Runner:
    def __init__(self, name):
        self.name = name
        self.lock = threading.Lock()
        self.active = 0
        self.is_leaving = False   # Reports `draining`.
        self.may_exit = False     # The time after that is over.
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        print(f"address 127.0.0.1:{self.listener.getsockname()[1]}", flush=True)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as file:
            try:
                self.serve_requests(connection, file)
            except (OSError, ValueError):
                pass  # The other side has left.

    def serve_requests(self, connection, file):
        while True:
            line = file.readline()
            if not line:
                return
            headers = {}
            for header in iter(file.readline, b"\r\n"):
                if not header:
                    return
                key, _, value = header.decode("latin-1").partition(":")
                headers[key.strip().lower()] = value.strip()
            file.read(int(headers.get("content-length", 0)))
            if headers.get("expect-runner", self.name) != self.name:
                connection.sendall(b"HTTP/1.1 421 X\r\nRunner-Id: %s\r\n"
                                   b"Content-Length: 0\r\n\r\n"
                                   % self.name.encode())
                continue
            with self.lock:
                self.active += 1
            attempt = headers["attempt-id"]
            print(f"runs {attempt}", flush=True)
            try:
                self.stream(connection, attempt, headers)
                # The end of the connection is the end of the answer.
                connection.shutdown(socket.SHUT_WR)
                print(f"done {attempt}", flush=True)
            finally:
                with self.lock:
                    self.active -= 1
                    self.exit_if_idle()
            return

    def stream(self, connection, attempt, headers):
        leaving = b"Server-Leaving: 1\r\n" if self.is_leaving else b""
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Signature: %s\r\n"
            b"Content-Type: text/event-stream\r\nConnection: close\r\n%s\r\n"
            % (attempt.encode(), self.name.encode(), leaving))
        gap = float(headers["stream-seconds"]) / EVENTS
        for number in range(1, EVENTS + 1):
            time.sleep(gap)
            connection.sendall(b"id: %d\ndata: %s\n\n" % (number, b"x" * 60))

    def leave(self, seconds):
        self.is_leaving = True
        time.sleep(seconds)
        with self.lock:
            self.may_exit = True
            self.exit_if_idle()

    def exit_if_idle(self):
        if self.may_exit and self.active == 0:
            os._exit(0)


def main():
    runner = Runner(sys.argv[1])
    for line in sys.stdin:
        command, _, value = line.partition(" ")
        if command == "drain":
            threading.Thread(target=runner.leave,
                             args=(float(value),)).start()
    os._exit(0)  # The script has ended.


main()

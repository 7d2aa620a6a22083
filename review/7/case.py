"""Clients that read slowly, and whether their answers reach them whole.

Each client keeps its connection. It asks for a stream, waits for PAUSE_SECONDS
before it reads, and then reads all of it, well within its deadline. Its window
is small, so that a part of the answer waits in the router's socket meanwhile.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-2"))
import fleet  # noqa: E402

CLIENTS = 8
PAUSE_SECONDS = 4.5
RECEIVE_BUFFER = 4096
EVENTS = 64        # As many, and as long, as on the sheet of the site.
EVENT_BYTES = 360
DEADLINE_MS = 12000
MOST_CLOSED = 3    # LOST: more than three times.


def stream(runner):
    def answer(connection, start, headers, body):
        if start[1].startswith("/short/"):
            return runner.answer_plainly(connection, start, headers, body)
        connection.sendall(runner.head(
            headers, more=b"Content-Type: text/event-stream\r\n"
                          b"Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: " % number
            event += b"x" * (EVENT_BYTES - len(event) - 2) + b"\n\n"
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.005)
        connection.sendall(b"0\r\n\r\n")
        runner.record.write(f"{runner.name} has sent all of "
                            f"{headers['attempt-id']}")
        return True
    return answer


def case(record, temporary, routers):
    store = fleet.Store()
    store.put("op", "config", fleet.configuration(
        [{"name": "advice", "prefix": "/advice/", "route-kind": "streaming",
          "timeout-ms": 12000, "service": "pool", "resumable": False,
          "sticky": True, "gap-goal-ms": 400},
         {"name": "short", "prefix": "/short/", "route-kind": "idempotent",
          "timeout-ms": 800, "service": "pool"}],
        [{"name": "pool"}]))
    runners = [fleet.Runner(store, record, f"i-{n}", "pool") for n in range(2)]
    for runner in runners:
        runner.answer = stream(runner)
    routers.append(fleet.Router(store, temporary, "edge-krk-a-1"))
    routers[0].start()
    routers[0].wait_until_ready(len(runners))
    pause = PAUSE_SECONDS if fleet.has_trouble() else 0
    answers = {}

    def call(number):
        caller = fleet.Caller(routers[0].front, RECEIVE_BUFFER)
        first = caller.ask("GET", "/short/1", f"first-{number}", 1500)
        record.write(f"client {number}, a short request: {first}")
        attempt = f"stream-{number}"
        record.write(f"client {number} sends {attempt}")
        caller.send("POST", "/advice/1", attempt, DEADLINE_MS, b"q" * 800)
        time.sleep(pause)
        answers[number] = caller.read(DEADLINE_MS / 1000 - pause)
        record.say(f"client {number}, {attempt}: {answers[number]}")
        caller.close()

    threads = [threading.Thread(target=call, args=(number,))
               for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for line in routers[0].log_lines("caller_left"):
        record.write(f"router: {line.strip()}")
    ran = {attempt for runner in runners for attempt in runner.runs}
    closed = [number for number, answer in answers.items()
              if not answer.is_whole and f"stream-{number}" in ran and
              answer.end != "the client's time is over"]
    record.say(f"{len(closed)} of {CLIENTS} connections closed without a whole "
               f"answer to a request that was passed on; allowed are "
               f"{MOST_CLOSED}")
    return fleet.BROKEN if len(closed) > MOST_CLOSED else fleet.HELD


fleet.run_case(os.path.join(FOLDER, "record.txt"), case)

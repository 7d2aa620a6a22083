"""A runner that sends the body of one stream without end, in small chunks.

The body is one event that never ends: short lines without an empty line. A
second service, whose runners are sound, serves ordinary requests meanwhile. They
may run once only, so that no client abandons them while they are unread.
"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-2"))
import fleet  # noqa: E402

CLIENTS = 10
GAP_SECONDS = 0.2
LENGTH_SECONDS = 20
TROUBLE_AT_SECONDS = 4
TIMEOUT_MS = 800       # The route's `timeout-ms`.
SLACK_SECONDS = 0.5    # CONFIG: no final answer 0.5 s after it.
LEAST_LATE = 8         # CONFIG: eight or more, and over a quarter.
BLOCK = b"2\r\na\n\r\n" * 8192


def troubled(runner):
    def answer(connection, start, headers, body):
        connection.sendall(runner.head(
            headers, more=b"Content-Type: text/event-stream\r\n"
                          b"Transfer-Encoding: chunked\r\n\r\n"))
        sent = 0
        try:
            while True:
                connection.sendall(BLOCK)
                sent += len(BLOCK)
        except OSError:
            pass
        runner.record.write(f"{runner.name}: the router closed the connection "
                            f"of {headers['attempt-id']} after {sent} bytes")
        return False
    return answer


def sound(runner):
    def answer(connection, start, headers, body):
        connection.sendall(runner.head(
            headers, more=b"Content-Type: text/event-stream\r\n"
                          b"Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(1, 65):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.02)
        connection.sendall(b"0\r\n\r\n")
        return True
    return answer


def case(record, temporary, routers):
    store = fleet.Store()
    store.put("op", "config", fleet.configuration(
        [{"name": "report", "prefix": "/report/", "route-kind": "streaming",
          "timeout-ms": 15000, "service": "pool", "resumable": False,
          "sticky": True, "gap-goal-ms": 400},
         {"name": "payment", "prefix": "/payment/",
          "route-kind": "non_idempotent", "timeout-ms": TIMEOUT_MS,
          "service": "desk"}],
        [{"name": "pool"}, {"name": "desk"}]))
    pool = fleet.Runner(store, record, "i-pool", "pool")
    pool.answer = troubled(pool) if fleet.has_trouble() else sound(pool)
    for number in range(2):
        fleet.Runner(store, record, f"i-desk-{number}", "desk")
    routers.append(fleet.Router(store, temporary, "edge-krk-a-1"))
    routers[0].start()
    routers[0].wait_until_ready(3)
    began = time.monotonic()
    until = began + LENGTH_SECONDS
    answers = []

    def call(client):
        caller = None
        number = 0
        while time.monotonic() < until:
            attempt = f"payment-{client}-{number}"
            number += 1
            sent_at = time.monotonic() - began
            try:
                caller = caller or fleet.Caller(routers[0].front)
                caller.send("POST", "/payment/1", attempt, 1500, b"p" * 600)
                answer = caller.read(1.5)
            except OSError as error:
                answer = fleet.Answer()
                answer.end = f"no connection: {error}"
            took = time.monotonic() - began - sent_at
            record.write(f"{attempt} sent at {sent_at:.3f}: {answer}")
            answers.append((sent_at, took, answer))
            if not answer.is_whole and caller:
                caller.close()
                caller = None
            time.sleep(GAP_SECONDS)

    def ask_stream():
        caller = fleet.Caller(routers[0].front)
        record.write("a client sends stream-0")
        record.say("stream-0: "
                   f"{caller.ask('POST', '/report/1', 'stream-0', 15000, b'q')}")

    threads = [threading.Thread(target=call, args=(client,))
               for client in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(TROUBLE_AT_SECONDS)
    threads.append(threading.Thread(target=ask_stream, daemon=True))
    threads[-1].start()
    for thread in threads:
        thread.join(max(0, until + 3 - time.monotonic()))
    bound = TIMEOUT_MS / 1000 + SLACK_SECONDS
    long = [took for _, took, a in answers if took > TIMEOUT_MS / 1000]
    late = [took for _, took, a in answers if took > bound]
    record.say(f"{len(answers)} ordinary requests; {len(long)} lasted longer than "
               f"their route's timeout, {len(late)} had no final answer 0.5 s "
               f"after it; the longest took {max(t for _, t, _ in answers):.3f} s")
    ok = sum(a.status == 200 and a.is_whole for _, _, a in answers)
    record.say(f"{ok} ordinary requests were served")
    is_broken = len(long) >= LEAST_LATE and len(late) > len(long) / 4
    return fleet.BROKEN if is_broken else fleet.HELD


fleet.run_case(os.path.join(FOLDER, "record.txt"), case)

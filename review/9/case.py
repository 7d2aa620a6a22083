"""Runners that are replaced one after the other, as in a release.

Each runner answers streams without a length. When it is replaced it reports
`draining`, keeps serving for `drain-ms` and longer, ends all the streams that
it has, and exits once the last one has ended.
"""

import os
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-2"))
import fleet  # noqa: E402

RUNNERS = 32
REPLACED = 14          # A share of 0.44, one at a time.
DRAIN_SECONDS = 2.3   # `drain-ms` and a little longer.
RELEASE_GAP_SECONDS = 3
CALLERS = 64
STREAM_SECONDS = (7.0, 11.0)
EVENTS = 64
DEADLINE_MS = 15000
MOST_CLOSED = 3       # LOST: more than three times.


class RunnerProcess:
    """A runner and its row in the store."""

    def __init__(self, store, record, number):
        self.name = f"i-{number}"
        self.store = store
        self.record = record
        self.done = set()
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(FOLDER, "runner.py"), self.name],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        address = self.process.stdout.readline().split()[1]
        self.row = {"service": "pool", "address": address, "zone": "krk-a",
                    "version": "v1", "slots": 64, "state": "ready",
                    "cold-left-ms": 0, "seq": 1,
                    "born": int(time.time() * 1000)}
        store.put("servers", self.name, self.row)
        self.reader = threading.Thread(target=self.read, daemon=True)
        self.reader.start()

    def read(self):
        for line in self.process.stdout:
            self.record.write(f"{self.name} {line.strip()}")
            if line.startswith("done "):
                self.done.add(line.split()[1])

    def drain(self):
        self.row = {**self.row, "state": "draining", "seq": 2}
        self.store.put("servers", self.name, self.row)
        self.record.write(f"{self.name}: the store has accepted `draining`")
        self.process.stdin.write(f"drain {DRAIN_SECONDS}\n")
        self.process.stdin.flush()

        def remove():
            self.process.wait()
            self.store.remove("servers", self.name)
            self.record.write(f"{self.name} is gone from the store")
        threading.Thread(target=remove, daemon=True).start()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def case(record, temporary, routers):
    store = fleet.Store()
    store.put("op", "config", fleet.configuration(
        [{"name": "advice", "prefix": "/advice/", "route-kind": "streaming",
          "timeout-ms": 15000, "service": "pool", "resumable": False,
          "sticky": True, "gap-goal-ms": 400}],
        [{"name": "pool"}]))
    runners = [RunnerProcess(store, record, n) for n in range(RUNNERS)]
    routers.extend(runners)  # Are ended like the router.
    routers.append(fleet.Router(store, temporary, "edge-krk-a-1"))
    routers[-1].start()
    routers[-1].wait_until_ready(RUNNERS)
    length = 3 + REPLACED * RELEASE_GAP_SECONDS + 3
    until = time.monotonic() + length
    answers = {}

    def ask(caller, attempt, seconds):
        record.write(f"a client sends {attempt}, a stream of {seconds:.3f} s")
        answer = caller.ask("POST", "/advice/1", attempt, DEADLINE_MS, b"q",
                            (f"Stream-Seconds: {seconds:.3f}",))
        answers[attempt] = answer
        record.write(f"{attempt}: {answer}")
        return answer

    def call(client):
        caller = None
        number = 0
        while time.monotonic() < until:
            if caller is None:
                # A first request, so that the next ones come from a kept
                # connection.
                caller = fleet.Caller(routers_front)
                ask(caller, f"first-{client}-{number}", 0.1)
            attempt = f"stream-{client}-{number}"
            low, high = STREAM_SECONDS
            seconds = low + (high - low) * ((client * 7 + number * 5) % 12) / 11
            number += 1
            answer = ask(caller, attempt, seconds)
            if not answer.is_whole or \
                    answer.headers.get("connection") == "close":
                caller.close()
                caller = None

    routers_front = routers[-1].front
    threads = [threading.Thread(target=call, args=(client,))
               for client in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(3)
    for number in range(REPLACED):
        if fleet.has_trouble():
            # The new one starts first.
            runners.append(RunnerProcess(store, record, RUNNERS + number))
            routers.append(runners[-1])
            time.sleep(1)
            runners[number].drain()
            time.sleep(RELEASE_GAP_SECONDS - 1)
        else:
            time.sleep(RELEASE_GAP_SECONDS)
    for thread in threads:
        thread.join()
    done = set().union(*(runner.done for runner in runners))
    closed = [attempt for attempt, answer in answers.items()
              if not answer.is_whole and attempt in done and
              attempt.startswith("stream")]
    for attempt in closed:
        events = answers[attempt].body.count(b"\n\n")
        record.say(f"{attempt}: its runner sent all {EVENTS} events, the client "
                   f"got {events}: {answers[attempt]}")
    served = sum(answer.is_whole and answer.status == 200
                 for answer in answers.values())
    record.say(f"{len(answers)} streams, {served} whole; {len(closed)} "
               f"connections closed without a whole answer though the runner "
               f"had ended it; allowed are {MOST_CLOSED}")
    return fleet.BROKEN if len(closed) > MOST_CLOSED else fleet.HELD


fleet.run_case(os.path.join(FOLDER, "record.txt"), case)

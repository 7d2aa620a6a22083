"""Seeded run of papayaplank_router processes with targets that cut streams at
any byte, repeat refusals and fail, slow callers, and routers that are killed.

Run by hand: soak_router.py BUILD --seeds 1-50. Checks for each answer: tokens
without a gap or a repeat, complete only with the end mark, the answer of the
own request, "not run" only for what did not run, and requests that must run
once run once.
"""

import argparse
import collections
import json
import os
import random
import re
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import raw_targets as raw  # noqa: E402

ROUTERS = 3
CALLERS = 12
NOT_RUN = "X-Papayaplank-Ran: no\r\n"
ERRORS = (400, 404, 409, 422, 429, 500, 503)


class Run:
    """One seed: fleet, targets, callers and what they found."""

    def __init__(self, build, seed, run_seconds):
        self.random = random.Random(seed)
        self.seed = seed
        self.run_seconds = run_seconds
        self.lock = threading.Lock()
        self.ran = collections.Counter()  # Runs by the caller's own key.
        self.refusals = {}
        self.counts = collections.Counter()
        self.faults = []
        self.engine = raw.RawTarget(self.serve_stream, count=20)
        self.service = raw.RawTarget(self.serve_plain, count=10)
        self.fleet = raw.RawFleet(build, self.engine, self.service,
                                  routers=ROUTERS)

    def draw(self, function):
        """Draws from the shared generator."""
        with self.lock:
            return function(self.random)

    def serve_stream(self, connection, request):
        """Serves a stream of tokens; may fail or cut it at any byte."""
        rng = random.Random(self.draw(lambda r: r.random()))
        kind = rng.random()
        if kind < 0.06:
            connection.sendall(raw.answer(
                request, rng.choice(ERRORS), b"data: some text\n\n",
                rng.choice((NOT_RUN, "", raw.EVENT_STREAM))))
            return True
        if kind < 0.08:
            connection.sendall(raw.head(request, 204))
            return True
        last = json.loads(request.body)["max_tokens"]
        position = "" if rng.random() < 0.05 else None
        first = 1 if position == "" else request.resumes_after + 1
        events = raw.tokens(first, last) + raw.END_MARK
        if rng.random() < 0.2:
            events += b"data: behind the end\n\n"
        data = raw.stream_head(request, position=position)
        while events:
            size = rng.randint(1, rng.choice((20, 4000)))
            data += raw.chunk(events[:size])
            events = events[size:]
        data += raw.chunk(b"")
        is_cut = rng.random() < 0.4
        if is_cut:
            data = data[:rng.randint(0, len(data))]
        while data:
            size = rng.randint(1, 20000)
            connection.sendall(data[:size])
            data = data[size:]
            if rng.random() < 0.3:
                time.sleep(rng.random() * 0.02)
        if is_cut:
            rng.choice((raw.close, raw.reset))(connection)
        return not is_cut

    def serve_plain(self, connection, request):
        """Serves a short answer; may refuse, repeat a refusal, or fail."""
        rng = random.Random(self.draw(lambda r: r.random()))
        with self.lock:
            old = self.refusals.get(connection)
        if old and rng.random() < 0.5:
            if rng.random() < 0.5:
                time.sleep(rng.random() * 0.05)
            connection.sendall(old)
        if rng.random() < 0.3:
            old = raw.answer(request, rng.choice((429, 503)), b"", NOT_RUN,
                             rng.random() < 0.7)
            with self.lock:
                self.refusals[connection] = old
            connection.sendall(old * rng.choice((1, 1, 2)))
            return True
        key = request.headers["x-run-key"]
        with self.lock:
            self.ran[key] += 1
        time.sleep(rng.random() * 0.02)
        data = raw.answer(request, 200, key.encode(),
                          has_id=rng.random() < 0.7)
        if rng.random() < 0.15:
            connection.sendall(data[:rng.randint(0, len(data) - 1)])
            rng.choice((raw.close, raw.reset))(connection)
            return False
        connection.sendall(data * rng.choice((1, 1, 1, 2)))
        return True

    def report(self, what, answer):
        with self.lock:
            self.faults.append(f"{what}: {repr(answer)[:1000]}")

    def count(self, what):
        with self.lock:
            self.counts[what] += 1

    def ask_stream(self, rng, router):
        last = rng.choice((1, 5, 50, 50, 10000))
        body = json.dumps({"model": "model-a", "stream": True,
                           "max_tokens": last}).encode()
        connection = raw.send(router, "/v1/chat/completions", body)
        is_slow = rng.random() < 0.4
        if is_slow:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        answer = raw.receive(connection, pause=rng.random() if is_slow else 0)
        if answer.status != 200:
            if b"token" in answer.body:
                self.report("tokens in an error", answer)
            self.count(f"stream {answer.status}")
            return
        numbers = [int(each) for each in
                   re.findall(rb'"token": (\d+)}\n\n', answer.body)]
        if numbers != list(range(1, len(numbers) + 1)):
            self.report("out of order", answer)
        expected = raw.tokens(1, last) + raw.END_MARK
        if answer.is_whole and answer.body != expected:
            self.report("complete before its end", answer)
        if not expected.startswith(answer.body):
            self.report("other bytes", answer)
        self.count("stream whole" if answer.is_whole else "stream cut")

    def ask_plain(self, rng, router):
        path = rng.choice(("/desk/lookup", "/desk/capture"))
        key = f"{self.seed}-{rng.random()}"
        answer = raw.ask(router, path, b"{}", X_Run_Key=key)
        time.sleep(0.1)
        with self.lock:
            runs = self.ran[key]
        if answer.status == 200 and answer.is_whole \
                and answer.body != key.encode():
            self.report("answer of another request", answer)
        if answer.ran == "no" and runs:
            self.report("called not run", answer)
        if path == "/desk/capture" and runs > 1:
            self.report("ran twice", answer)
        self.count(f"{path} {answer.status} {answer.ran}")

    def call(self, seed, until):
        """One caller."""
        rng = random.Random(seed)
        while time.monotonic() < until:
            router = rng.choice(self.fleet.routers)
            try:
                if rng.random() < 0.6:
                    self.ask_stream(rng, router)
                else:
                    self.ask_plain(rng, router)
            except OSError:
                self.count("no connection")
                time.sleep(0.05)

    def play(self):
        """Runs the load and kills routers meanwhile."""
        self.fleet.start()
        until = time.monotonic() + self.run_seconds
        callers = [threading.Thread(
            target=self.call, args=(self.draw(lambda r: r.random()), until))
            for _ in range(CALLERS)]
        for each in callers:
            each.start()
        while time.monotonic() < until - 1:
            time.sleep(self.draw(lambda r: r.uniform(0.5, 2)))
            router = self.draw(lambda r: r.choice(self.fleet.routers))
            router.process.kill()
            router.process.wait()
            self.fleet.start_router(router)
        for each in callers:
            each.join()
        self.fleet.stop()
        return self.faults


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1-2")
    parser.add_argument("--seconds", type=float, default=8)
    arguments = parser.parse_args()
    first, last = (int(each) for each in arguments.seeds.split("-"))
    bad = []
    totals = collections.Counter()
    for seed in range(first, last + 1):
        run = Run(arguments.build, seed, arguments.seconds)
        faults = run.play()
        totals += run.counts
        print(f"seed {seed}: {len(faults)} faults, {dict(run.counts)}",
              flush=True)
        for fault in faults[:5]:
            print("  " + fault)
        if faults:
            bad.append(seed)
    print(f"seeds with faults: {bad}; in all {dict(totals)}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())

"""A planned stop of a router whose requests do not all take equally long.

Most requests of the route take RUN_SECONDS; a few take LONG_SECONDS, which is
half of the time that their clients give them. Clients whose list of addresses
is still in force send such requests on open connections after SIGTERM.
"""

import os
import signal
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-2"))
import fleet  # noqa: E402

RUN_SECONDS = 0.06
LONG_SECONDS = 2.0
DEADLINE_MS = 4000
CLIENTS = 5
SENT_AFTER_SECONDS = 5.8  # Some keep a list for 3 x `ttl-s`, which is 2.
GRACE_SECONDS = 8         # `grace-s`: then the platform kills the process.


def work(runner):
    def answer(connection, start, headers, body):
        time.sleep(LONG_SECONDS if body.startswith(b"long") else RUN_SECONDS)
        return runner.answer_plainly(connection, start, headers, body)
    return answer


def case(record, temporary, routers):
    store = fleet.Store()
    store.put("op", "config", fleet.configuration(
        [{"name": "refund-post", "prefix": "/refund/",
          "route-kind": "non_idempotent", "timeout-ms": DEADLINE_MS,
          "service": "app", "goal-ms": 300}], [{"name": "app"}]))
    runners = [fleet.Runner(store, record, f"i-{n}", "app", 6)
               for n in range(3)]
    for runner in runners:
        runner.answer = work(runner)
    for name in ("edge-krk-a-1", "edge-krk-b-1"):
        routers.append(fleet.Router(store, temporary, name))
        routers[-1].start()
    for router in routers:
        router.wait_until_ready(len(runners))
    router = routers[0]
    callers = [fleet.Caller(router.front) for _ in range(CLIENTS)]
    for number, caller in enumerate(callers):
        for turn in range(5):
            record.write(f"client {number}: " + str(caller.ask(
                "POST", "/refund/1", f"usual-{number}-{turn}", DEADLINE_MS,
                b"usual")))
    if fleet.has_trouble():
        router.signal(signal.SIGTERM)
        record.say("SIGTERM")
    stopped_at = time.monotonic()
    answers = {}

    def call(number):
        time.sleep(SENT_AFTER_SECONDS + 0.05 * number)
        attempt = f"refund-{number}"
        sent_at = time.monotonic() - stopped_at
        answer = callers[number].ask("POST", "/refund/1", attempt, DEADLINE_MS,
                                     b"long")
        answers[attempt] = answer
        record.say(f"{attempt}, sent {sent_at:.2f} s after SIGTERM: {answer}")

    threads = [threading.Thread(target=call, args=(number,))
               for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    if fleet.has_trouble():
        left = stopped_at + GRACE_SECONDS - time.monotonic()
        try:
            router.process.wait(left)
        except subprocess.TimeoutExpired:  # The platform kills it then.
            router.process.kill()
        record.say(f"the process ended "
                   f"{time.monotonic() - stopped_at:.2f} s after SIGTERM")
    for thread in threads:
        thread.join()
    ran = {attempt for runner in runners for attempt in runner.runs}
    lost = [attempt for attempt, answer in answers.items()
            if not answer.is_whole and attempt in ran and
            answer.end != "the client's time is over"]
    record.say(f"{len(lost)} of {CLIENTS} requests were passed on to a runner "
               "and their connections ended without an answer; allowed are 0")
    return fleet.BROKEN if lost else fleet.HELD


fleet.run_case(FOLDER, case)

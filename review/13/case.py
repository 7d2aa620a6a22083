"""A router is stopped as planned. Does each request that it takes get its
answer?"""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-3"))
import caller  # noqa: E402
import fleet as fleets  # noqa: E402
from runner import Registration, Runner, answer_pieces  # noqa: E402
from store import Store  # noqa: E402

TIMEOUT_MS = 4000   # Of the route, and the deadline of its clients.
USUAL_MS = 60       # "work ms" of refund-post.
LONG_MS = 2500      # One of them that takes longer, well within the timeout.
SENT_AT = (4.6, 4.9, 5.2, 5.5, 5.8)   # Seconds after SIGTERM.


def case(record, has_trouble):
    store = Store(("127.31.1.1", fleets.claim_port()))
    port = fleets.claim_port()
    runs = set()

    def on_event(event, runner_id, attempt, *rest):
        record("runner", event, runner_id, attempt, *rest)
        if event == "run":
            runs.add(attempt)

    for i in range(4):
        address = ("127.31.2.%d" % (i + 1), port)
        Runner("i-%d" % i, address, on_event)
        Registration(store, "i-%d" % i, address, "detaxe-app", "a")
    fleet = fleets.Fleet(store.listener.getsockname(),
                         bounds={**fleets.DEMANDS_BOUNDS, "retry-slack": 158})
    try:
        store.write("op", "config", caller.configuration(
            1, [caller.route("/post/", "non_idempotent", "detaxe-app",
                             **{"timeout-ms": TIMEOUT_MS})],
            {"detaxe-app": {}}))
        fleet.start()
        fleets.wait_for(lambda: all(r.is_ready() for r in fleet.routers),
                        "the routers are ready")
        time.sleep(4)
        router = fleet.routers[0]
        answers, sent_at, ended_at = {}, {}, {}

        def ask(name, work_ms):
            record("client sends", name)
            sent_at[name] = time.monotonic()
            answers[name] = caller.ask(
                router.front, "/post/1", name, {"work_ms": work_ms},
                deadline_ms=TIMEOUT_MS)
            ended_at[name] = time.monotonic()
            record("client", name, "gets", answers[name])

        for i in range(20):
            ask("usual-%d" % i, USUAL_MS)
        if has_trouble:
            router.signal(signal.SIGTERM)
            record("SIGTERM to", router.name)
        began = time.monotonic()
        threads = []
        for i, at in enumerate(SENT_AT):
            time.sleep(max(0, began + at - time.monotonic()))
            threads.append(threading.Thread(
                target=ask, args=("long-%d" % i, LONG_MS)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        if has_trouble:
            router.process.wait(timeout=20)
            record(router.name, "ended %.1f s after SIGTERM" %
                   (time.monotonic() - began))

        def counts(name):
            """What the rule leaves out: sent early, or out of time."""
            return (sent_at[name] > began + 3 and
                    ended_at[name] - sent_at[name] < TIMEOUT_MS / 1000)

        return ["LOST: %s ran, and its connection ended without an answer (%s)"
                % (name, answer) for name, answer in sorted(answers.items())
                if name in runs and not answer.is_whole and counts(name)]
    finally:
        fleet.stop()


if __name__ == "__main__":
    fleets.run_case(os.path.join(FOLDER, "record.txt"),
                    os.environ.get("TROUBLE", "1") != "0", case)

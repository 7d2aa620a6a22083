"""The store comes back from an older copy; then a zone is evacuated. Do the
routers still send work to the runners of that zone?"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-3"))
import caller  # noqa: E402
import fleet as fleets  # noqa: E402
from runner import Registration, Runner  # noqa: E402
from store import Store  # noqa: E402

BOUNDS = {**fleets.DEMANDS_BOUNDS, "evacuate-ms": 5000, "cold-overshoot": 1.5,
          "cold-slack": 5, "retry-slack": 212}  # Of the site.
TIMEOUT_MS = DEADLINE_MS = 1000  # The deadline of the site's crew-dispatch.
AWAY_SECONDS = 1.0
COPY_SECONDS = 5.0
ZONES = ("a", "b")


def case(record, has_trouble):
    store = Store(("127.31.1.1", fleets.claim_port()))
    port = fleets.claim_port()
    runs = []  # (time, attempt, zone)
    lock = threading.Lock()
    runners = []

    def on_event(event, runner_id, attempt, *rest):
        record("runner", event, runner_id, attempt, *rest)
        if event == "run":
            with lock:
                runs.append((time.monotonic(), attempt, zone_of[runner_id]))

    zone_of = {"i-%d" % i: ZONES[i % 2] for i in range(6)}
    for i, runner_id in enumerate(zone_of):
        address = ("127.31.2.%d" % (i + 1), port)
        runners.append((Runner(runner_id, address, on_event),
                        Registration(store, runner_id, address, "field-ops",
                                     zone_of[runner_id])))
    fleet = fleets.Fleet(store.listener.getsockname(), zones=ZONES,
                         bounds=BOUNDS)
    config = caller.configuration(
        1, [caller.route("/dispatch/", "non_idempotent", "field-ops",
                         **{"timeout-ms": TIMEOUT_MS, "goal-ms": 150,
                            "priority": 2})],
        {"field-ops": {}})
    try:
        store.write("op", "config", config)
        fleet.start()
        fleets.wait_for(lambda: all(r.is_ready() for r in fleet.routers),
                        "the routers are ready")
        time.sleep(2)
        record("op/evacuate/b acknowledged at version",
               store.write("op", "evacuate/b", {}))
        time.sleep(5)
        record("op/evacuate/b taken back at version",
               store.remove("op", "evacuate/b"))
        time.sleep(2)
        if has_trouble:
            record("store down at version", store.version)
            store.go_down()
            time.sleep(AWAY_SECONDS)
            store.come_back(COPY_SECONDS)
            record("store back, era", store.era, "version", store.version)
            # What the operator wrote is written again.
            record("op/config written again at version",
                   store.write("op", "config", config))
            record("op/evacuate/b taken back again at version",
                   store.remove("op", "evacuate/b"))
        time.sleep(1)
        record("op/evacuate/b acknowledged at version",
               store.write("op", "evacuate/b", {}))
        evacuated_at = time.monotonic()
        # Sent after the bound, while the store has been stable for longer than
        # `contact-ms`.
        time.sleep(BOUNDS["evacuate-ms"] / 1000 + 0.5)
        sent = {}

        def ask(router, name, plan=None):
            sent[name] = time.monotonic()
            answer = caller.ask(router.front, "/dispatch/1", name, plan,
                                deadline_ms=DEADLINE_MS)
            record("client", name, "via", router.name, "gets", answer)

        for i in range(30):
            ask(fleet.routers[i % len(fleet.routers)], "dispatch-%d" % i)
            time.sleep(0.1)
        # The operator takes the zone's power away, as it is empty by now.
        threads = []
        for i in range(6):
            threads.append(threading.Thread(target=ask, args=(
                fleet.routers[1], "last-%d" % i, {"work_ms": 200})))
            threads[-1].start()
        time.sleep(0.1)
        for runner, registration in runners:
            if registration.row["zone"] == "b":
                runner.listener.close()
                runner.reset_connections()
        record("zone b is switched off")
        for thread in threads:
            thread.join()
        late = [(at, name) for at, name, zone in runs
                if zone == "b" and name in sent and
                at > evacuated_at + BOUNDS["evacuate-ms"] / 1000]
        if not any(name in sent for _, name, _ in runs):
            raise fleets.CannotRun("no request ran")
        return ["EVAC: %s reached a runner of zone b %.1f s after its "
                "evacuation was acknowledged" % (name, at - evacuated_at)
                for at, name in late]
    finally:
        fleet.stop()


if __name__ == "__main__":
    fleets.run_case(os.path.join(FOLDER, "record.txt"),
                    os.environ.get("TROUBLE", "1") != "0", case)

"""Demonstration on stand-ins: four routers in two data centres serve sixteen
customers while the configuration changes. Ends by itself; the exit code is 1
if an answer was wrong, a capture (a request that must run at most once) ran
twice or a router failed to stop."""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402


def load_plan(fleet, customers):
    """Plan for papayaplankctl load: customers with a weight above 1 send
    reports; all send advice and capture requests. Only captures are not
    idempotent."""
    parts = []
    for i, (name, weight) in enumerate(customers.items()):
        common = {"customer": name, "key": fleets.key_of(name),
                  "data_center": fleet.data_centers[i % 2]}
        prompt = json.dumps({"model": "model-a", "stream": True,
                             "max_tokens": 40, "messages": [
                                 {"role": "user", "content": f"{name} @"}]})
        advice = json.dumps({"model": "model-a", "max_tokens": 10, "messages": [
            {"role": "user", "content": f"{name} @"}]})
        if weight > 1:
            parts.append(dict(common, **{
                "class": "report", "path": "/v1/chat/completions",
                "body": prompt, "streams": 12, "requests": 120,
                "idempotent": True}))
        parts.append(dict(common, **{
            "class": "advice", "path": "/v1/chat/completions", "body": advice,
            "streams": 2, "requests": 20, "idempotent": True}))
        parts.append(dict(common, **{
            "class": "capture", "path": "/desk/capture", "body": "{\"n\":@}",
            "streams": 1, "requests": 20}))
    return {"routers": [each.caller for each in fleet.routers],
            "seconds": 60, "parts": parts}


def main():
    build = sys.argv[1]
    fleet = fleets.Fleet(build)
    customers = {f"shop-{i:02}": 4 if i < 3 else 1 for i in range(16)}
    try:
        print("starting 4 routers in 2 data centres, 6 engines, 1 service ...")
        fleet.start()
        fleet.submit(fleets.demo_change(customers), base=0)
        path = os.path.join(fleet.directory, "plan.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(load_plan(fleet, customers), file)
        results = []
        load = threading.Thread(target=lambda: results.append(
            fleet.ctl("load", f"--plan={path}", check=False)))
        load.start()
        time.sleep(2)
        started_at = time.monotonic()
        change = {"format": 1, "customers": [
            {"name": "shop-00", "template": "workshop",
             "parameters": {"weight": 8},
             "key_hashes": [fleets.key_hash("shop-00")]}]}
        fleet.submit(change, base=1)
        print(f"weight of shop-00 changed while the load runs; in force on "
              f"all routers after {time.monotonic() - started_at:.1f} s")
        load.join()
        print(results[0].stdout, end="")
        print(results[0].stderr, end="", file=sys.stderr)
        print(fleet.ctl("status").stdout)
        _, _, runs = fleets.call(fleet.services[0], "GET", "/admin/runs")
        counts = json.loads(runs)
        max_runs = max(counts.values())
        print(f"{len(counts)} captures ran at the service, each at most "
              f"{max_runs} time(s)")
        has_succeeded = results[0].returncode == 0 and max_runs == 1
    finally:
        codes = fleet.stop()
    print("routers stopped with exit codes", codes)
    has_succeeded = has_succeeded and all(code == 0 for code in codes)
    print("the demonstration", "succeeded" if has_succeeded else "FAILED")
    return 0 if has_succeeded else 1


if __name__ == "__main__":
    sys.exit(main())

"""Randomized test: streams keep their order whatever breaks around them.

    test_stream_order.py BUILD [--seeds 1-50] [--seconds 8] [--logs FOLDER]

Real routers between callers with raw sockets and targets which are processes
of their own, so that the kernel ends their connections. Targets break their
answers as seeded plans say, and end, pause and leave; routers are killed,
stopped, paused and reloaded meanwhile. Over all answers of one stream ids have
no gap, repeat or step back, and the stream looks complete only after its last
event; no byte is passed on that no target sent as an event of that stream; a
refusal is only given to a request that has not run and never will; requests
that are not idempotent run at most once. A seed decides plans, faults and
their times; the scheduling of processes and threads is not reproducible.
"""

import argparse
import collections
import functools
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import stream_plans  # noqa: E402
from edge_process import Edge  # noqa: E402
from seed_ranges import parse_seeds  # noqa: E402
from stream_fleet import TARGETS, Fleet  # noqa: E402

# Seeds that failed before, each with its cause; every run repeats them.
REGRESSION_SEEDS = {}
CALLERS = 16


def describe(stream, runs, lines):
    """Everything that is known of a stream with a violation."""
    text = [f"stream {stream.path}", f"plans {json.dumps(stream.plans)}"]
    text += [f"{kind}: {what}" for kind, what in stream.violations]
    text += [f"run {json.dumps(run)}" for run in runs]
    for attempt, last, answer in stream.attempts:
        text.append(f"{attempt} after {last}: {answer.status} complete="
                    f"{answer.is_complete} ends {answer.raw[-300:]!r}")
        text += [f"log {json.dumps(line)}" for line in lines
                 if line.get("request") == attempt]
    return "\n    ".join(text)


def run_seed(seed, options):
    fleet = Fleet(seed, options.seconds, options.routers, options.targets)
    with fleet:
        streams = fleet.run(options.callers, functools.partial(
            stream_plans.draw_stream, without=options.without.split(",")))
        runs = {stream: fleet.targets.runs(stream) for stream in streams}
    broken = [stream for stream in streams if stream.violations]
    kinds = collections.Counter(kind for stream in broken
                                for kind, _ in stream.violations)
    whole = sum(stream.is_whole for stream in streams)
    print(f"seed {seed}: {'violated' if broken else 'kept'}, {len(streams)} "
          f"streams, {whole} whole, "
          f"{sum(len(stream.attempts) for stream in streams)} attempts, "
          f"{sum(map(len, runs.values()))} runs, {len(fleet.edges)} routers, "
          f"{sum(fleet.faults.values())} faults, {dict(kinds)}", flush=True)
    stories = [describe(stream, runs[stream], fleet.lines)
               for stream in broken]
    if options.logs and stories:
        with open(os.path.join(options.logs, f"streams-{seed}.txt"), "w",
                  encoding="utf-8") as file:
            file.write("\n\n".join(stories) + "\n")
    for story in stories[:options.stories]:
        print("    " + story)
    return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1-3", help="such as 1-50 or 3,7")
    parser.add_argument("--seconds", type=float, default=8,
                        help="seconds of faults per seed")
    parser.add_argument("--routers", type=int, help="by default 2 to 4")
    parser.add_argument("--targets", type=int, default=TARGETS)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument("--logs", help="folder for what is known of violations")
    parser.add_argument("--stories", type=int, default=3,
                        help="violations to print per seed")
    parser.add_argument("--without", default="",
                        help="keys to leave out of plans, such as text,status")
    options = parser.parse_args()
    Edge.program = os.path.join(options.build, "apps/papayaplank_edge")
    seeds = [*REGRESSION_SEEDS, *parse_seeds(options.seeds)]
    results = [run_seed(seed, options) for seed in seeds]
    print(f"{results.count(True)} of {len(results)} seeds kept the order")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

"""Draws streams and plans of how their runs break."""

import stream_callers

PLANS = 6  # Runs of a stream that may break; later ones are whole.
HOWS = ("fin", "fin", "reset", "reset", "ragged", "crash")


def draw_plan(generator, is_first):
    """A plan for one run; stream_target.py lists its keys."""
    plan = {"framing": generator.choice(("chunked", "chunked", "closed")),
            "line_end": generator.choice(("lf", "lf", "crlf", "mixed")),
            "seed": generator.randrange(1000),
            "ms": generator.choice((0, 20, 100, 400) * 8 + (3000,))}
    chance = generator.random()
    if chance < 0.35:
        how = generator.choice(HOWS)
        if how == "crash" and generator.random() < 0.8:
            how = "reset"  # A crash ends the other streams of its process.
        plan["cut"] = [generator.choice((0, 1, 2, 3, 7, 390)),
                       generator.choice((0, 0, round(generator.random(), 2))),
                       how]
    elif chance < (0.39 if is_first else 0.5):
        status, refuses = generator.choice((
            (400, 0), (404, 0), (409, 0), (429, 0), (429, 1), (500, 0),
            (503, 0), (503, 1), (503, 1), (204, 0)))
        plan.update(status=status, refuses=refuses,
                    no_id=int(generator.random() < 0.3))
    elif chance < (0.4 if is_first else 0.6):
        plan.update(generator.choice((
            {"first": "one"}, {"first": "skip"}, {"first": "back"},
            {"first": "few"}, {"text": "plain"}, {"text": "block"},
            {"text": "head"})))
    elif chance < 0.63:
        plan[generator.choice(("hole", "again"))] = generator.randrange(6)
    elif chance < 0.66:
        plan["extra"] = 1
    elif chance < 0.72:
        plan["leaves"] = 1
    if generator.random() < 0.1:
        plan["stale"] = generator.choice(("id", "bare"))
    return plan


def draw_stream(generator, name, without=()):
    """A stream whose plans have none of the keys `without`."""
    kind = generator.choice(("/stream/",) * 6 + ("/stream/once/",) * 2 +
                            ("/read/", "/write/"))
    path = f"{kind}{name}-{generator.choice((1, 3, 10, 25))}"
    chance = generator.random()
    if chance < 0.1:
        path += "L"
    elif chance < 0.11:  # More than the buffers on the way hold.
        path = f"{kind}{name}-400L"
    plans = [draw_plan(generator, number == 0) for number in range(PLANS)]
    plans = [{key: plan[key] for key in plan if key not in without}
             for plan in plans]
    plans = plans[:generator.randint(0, PLANS)] + [{}]
    return stream_callers.Stream(path, plans)

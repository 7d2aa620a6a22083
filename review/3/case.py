"""A client sends a request whose `Transfer-Encoding` is not the chunked one,
with a second request as its body. The router must not take the body for a
request of its own and have a runner run it.

Without the trouble, the same bodies come with a length or in chunks.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib"))
import deployment as d  # noqa: E402

SERVICE = "shopdesk"
CODINGS = ("gzip", "identity", "xchunked", "chunked, gzip", "deflate")
ROUNDS = 4


async def send(fleet, router, number, coding, in_chunks):
    """Returns the Attempt-Ids of the request and of the one in its body."""
    outer, inner = f"out{number:06d}", f"smuggled{number:06d}"
    body = (f"POST /saw/release HTTP/1.1\r\nHost: {d.HOST}\r\n"
            f"Attempt-Id: {inner}\r\nDeadline-Ms: 1500\r\n"
            f"Credential: {d.KEY}\r\nContent-Length: 0\r\n\r\n").encode()
    if coding:
        framing = f"Transfer-Encoding: {coding}"
    elif in_chunks:
        framing = "Transfer-Encoding: chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        framing = f"Content-Length: {len(body)}"
    head = (f"POST /saw/release HTTP/1.1\r\nHost: {d.HOST}\r\n"
            f"Attempt-Id: {outer}\r\nDeadline-Ms: 1500\r\n"
            f"Credential: {d.KEY}\r\n{framing}\r\n\r\n").encode()
    fleet.record.write("sent", request=outer, in_its_body=inner,
                       framing=framing.replace(" ", ""))
    reader, writer = await asyncio.open_connection(router.ip, router.front)
    writer.write(head + body)
    await asyncio.sleep(0.2)
    try:
        async with asyncio.timeout(1.5):
            answer = await d.read_head(reader)
    except TimeoutError:
        answer = None
    fleet.record.write("answered", request=outer,
                       status=answer and answer[0][1])
    writer.close()
    return outer, inner


async def case(fleet, has_trouble):
    for _ in range(3):
        await fleet.add_runner(SERVICE)
    await fleet.configure(d.configuration(
        7, [d.route("/saw/", "non_idempotent", SERVICE)], [SERVICE]))
    await fleet.wait_ready(fleet.add_routers(3))
    await asyncio.sleep(4)
    pairs = []
    for i in range(ROUNDS * len(CODINGS)):
        coding = CODINGS[i % len(CODINGS)] if has_trouble else None
        pairs.append((coding, *await send(fleet, fleet.routers[i % 3], i,
                                          coding, i % 2 == 1)))
    if not all(router.is_running() for router in fleet.routers):
        raise d.CannotRun("a router ended")
    runs = {request for runner in fleet.runners
            for _, request in runner.arrivals}
    print(f"{len(pairs)} requests sent, {len(runs)} runs")
    if not has_trouble and len(runs) != len(pairs):
        raise d.CannotRun("the sound requests were not all run")
    return [f"UNASKED: a runner ran {inner}, which was the body of {outer} "
            f"(Transfer-Encoding: {coding})"
            for coding, outer, inner in pairs if inner in runs]


if __name__ == "__main__":
    sys.exit(d.run_case(case, FOLDER))

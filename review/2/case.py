"""An upstream sends additional bytes after a complete answer.

Two upstreams serve requests that may run only once. One of them sends, after
one of its answers, the beginning of a second answer, which is cut off. It
fails the next request with a 500 of its own.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness  # noqa: E402

HOST = "fees.example"
REQUESTS = 250
# One answer of the faulty upstream is spoilt, and one request fails: fewer
# than one in fifty and four in a thousand.
SPOILT_ANSWER = 40
ADDITIONAL_BYTES = b"HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 10:0"
DELAY_S = 0.05


async def run(case):
    entry = case.machine("m-1", "front")
    machines = [entry, case.machine("m-2", "fees"), case.machine("m-3", "fees")]
    given = {}
    count = {"answers": 0}

    async def settle(upstream, request, writer):
        if not request.start.startswith("POST"):
            return False
        attempt = request.header("X-Attempt-Id")
        count["answers"] += 1
        status = 500 if count["answers"] == SPOILT_ANSWER + 1 else 200
        given[attempt] = status
        await asyncio.sleep(upstream.work_s)
        case.record.write("upstream_answers", attempt=attempt, status=status)
        writer.write(upstream.success(attempt, status))
        await writer.drain()
        if count["answers"] == SPOILT_ANSWER and case.trouble:
            await asyncio.sleep(DELAY_S)
            writer.write(ADDITIONAL_BYTES)
            case.record.write("additional_bytes", after=attempt)
        return True

    async def sound(upstream, request, writer):
        given[request.header("X-Attempt-Id")] = 200
        return False

    upstreams = [harness.Upstream(case, entry, "i-1", "front"),
                 harness.Upstream(case, machines[1], "i-2", "fees",
                                  behaviour=settle),
                 harness.Upstream(case, machines[2], "i-3", "fees",
                                  behaviour=sound)]
    await case.store.configure(harness.configuration(1, [
        harness.route("r-look", HOST, "/look/", "idempotent", "fees"),
        harness.route("r-settle", HOST, "/settle/", "non_idempotent", "fees")],
        ["front", "fees"]))
    for each in machines:
        await each.start()
    for each in upstreams:
        await each.start()
    await case.all_served(machines, HOST, "/look/1")
    await asyncio.sleep(3)
    statuses = {}
    for _ in range(REQUESTS):
        attempt, answer = await case.send(entry, "POST", HOST, "/settle/1",
                                          5000, body=b"fee")
        if answer is None:
            continue
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        if answer.status < 300 and given.get(attempt, 0) >= 400:
            case.violated("MIXED: a client gets %d where the upstream had "
                          "answered %d" % (answer.status, given[attempt]),
                          attempt=attempt, headers=answer.headers)
        elif (answer.header("X-Response-Signature")
              and answer.status != given.get(attempt)):
            case.violated("MIXED: a signed %d where the upstream had answered "
                          "%s" % (answer.status, given.get(attempt)),
                          attempt=attempt)
    print("answers:", statuses, "upstreams' failures:",
          sum(1 for each in given.values() if each >= 400))


harness.main(run, FOLDER)

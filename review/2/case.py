"""An upstream refuses a call and, late, sends that answer a second time.

An upstream of `front` makes one call for each request that it runs, on a route
whose requests may run only once. The upstream of `book` takes one request in 30
ms and answers others 429 with X-Not-Executed. One of these answers it sends a
second time, 40 ms later, before it reads the next request on the connection.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness  # noqa: E402

HOST = "walks.example"
REQUESTS = 120
DEADLINE_MS = 5000
# The upstream's own limit, and how late the second answer is.
MIN_INTERVAL_S = 0.03
LATE_S = 0.04
# The share of the upstream's answers that may be spoilt.
SPOILT_SHARE = 0.02
PROMISES = (408, 421, 429, 503)


async def run(case):
    caller = case.machine("m-1", "front")
    serving = case.machine("m-2", "book")
    calls = {}
    state = {"last": 0.0, "answers": 0, "refusals": 0, "spoilt": 0}

    async def front_work(upstream, request, writer):
        if not request.start.startswith("GET /tour/"):
            return False
        parent = request.header("X-Attempt-Id")
        started = case.record.now()
        left = int(request.header("X-Deadline-Ms"))
        await asyncio.sleep(0.01)
        left -= int((case.record.now() - started) * 1000)
        attempt, answer = await case.send(caller, "POST", HOST, "/book/1",
                                          left, body=b"walk")
        calls[attempt] = answer.status if answer else None
        good = answer is not None and answer.status == 200
        writer.write(upstream.success(parent, 200 if good else 500))
        return True

    class Book(harness.Upstream):
        """Refuses what comes too soon after the last request."""

        async def handle(self, request, reader, writer):
            now = case.record.now()
            attempt = request.header("X-Attempt-Id") or ""
            state["answers"] += 1
            if (not request.start.startswith("POST /book/")
                    or now - state["last"] >= MIN_INTERVAL_S):
                state["last"] = now
                await super().handle(request, reader, writer)
                return
            state["refusals"] += 1
            refusal = harness.answer_bytes(429, [("X-Attempt-Id", attempt),
                                                 ("X-Not-Executed", "1")])
            case.record.write("refused_by_upstream", attempt=attempt)
            writer.write(refusal)
            await writer.drain()
            # It serves one request at a time on a connection.
            await asyncio.sleep(LATE_S)
            if (case.trouble and state["spoilt"] + 1
                    <= SPOILT_SHARE * state["answers"]):
                state["spoilt"] += 1
                # As an upstream that spoils its answers: the same once more.
                case.record.write("second_answer", attempt=attempt)
                writer.write(refusal)

    front = harness.Upstream(case, caller, "i-1", "front",
                             behaviour=front_work)
    book = Book(case, serving, "i-2", "book")
    await case.store.configure(harness.configuration(1, [
        harness.route("r-tour", HOST, "/tour/", "idempotent", "front"),
        harness.route("r-look", HOST, "/look/", "idempotent", "book"),
        harness.route("r-book", HOST, "/book/", "non_idempotent", "book")],
        ["front", "book"]))
    for each in (caller, serving):
        await each.start()
    for each in (front, book):
        await each.start()
    await case.all_served([caller, serving], HOST, "/look/1")
    await asyncio.sleep(3)
    for number in range(REQUESTS):
        # Now and then two requests come at the same time.
        together = 2 if number % 10 == 0 else 1
        await asyncio.gather(*(case.send(caller, "GET", HOST, "/tour/1",
                                         DEADLINE_MS)
                               for _ in range(together)))
        await asyncio.sleep(MIN_INTERVAL_S)
    # Requests that the daemon said had not run may still run.
    await asyncio.sleep(1)
    ran = {attempt for _, attempt in book.runs}
    statuses = {}
    for attempt, status in calls.items():
        statuses[status] = statuses.get(status, 0) + 1
        if status in PROMISES and attempt in ran:
            case.violated("REFUSED: a request that isn't idempotent got %d "
                          "and has run" % status, attempt=attempt)
    print("answers to the calls:", statuses, "the upstream's answers:",
          state["answers"], "refusals:", state["refusals"], "spoilt:",
          state["spoilt"])


harness.main(run, FOLDER)

"""An upstream sends the beginning of a second answer after a refusal.

Two upstreams serve requests that may run only once. Each takes one request in
30 ms and answers others 503 with X-Not-Executed. After some of these answers
one of them sends the same answer once more, cut off within a header.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness  # noqa: E402

HOST = "fees.example"
REQUESTS = 240
# Now and then a request follows the answer to the one before at once.
HURRY_EVERY = 4
MIN_INTERVAL_S = 0.03
# One upstream of three is faulty, and this share of its answers is spoilt at
# most.
FAULTY = "i-2"
SPOILT_SHARE = 0.03
LATE_S = 0.05
REFUSAL = ("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
           "Retry-After: 0.250\r\nX-Attempt-Id: %s\r\n"
           "Content-Length: 0\r\n\r\n")
ADDITIONAL_BYTES = REFUSAL[:REFUSAL.index("0.250") + 3].encode()


async def run(case):
    entry = case.machine("m-1", "front")
    machines = [entry, case.machine("m-2", "fees"), case.machine("m-3", "fees")]
    refusals, answers, spoilt = [], [], []

    class Fees(harness.Upstream):
        """Refuses what comes too soon after the last request."""

        last = 0.0

        async def handle(self, request, reader, writer):
            now = case.record.now()
            attempt = request.header("X-Attempt-Id") or ""
            answers.append(self.id)
            if (not request.start.startswith("POST")
                    or now - self.last >= MIN_INTERVAL_S):
                self.last = now
                await super().handle(request, reader, writer)
                return
            case.record.write("refused_by_upstream", server=self.id,
                              attempt=attempt)
            writer.write((REFUSAL % attempt).encode())
            await writer.drain()
            refusals.append(self.id)
            if (case.trouble and self.id == FAULTY and len(spoilt) + 1
                    <= SPOILT_SHARE * answers.count(FAULTY)):
                spoilt.append(attempt)
                await asyncio.sleep(LATE_S)
                case.record.write("additional_bytes", server=self.id)
                writer.write(ADDITIONAL_BYTES)

    upstreams = [harness.Upstream(case, entry, "i-1", "front"),
                 Fees(case, machines[1], "i-2", "fees"),
                 Fees(case, machines[2], "i-3", "fees")]
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
    sent, statuses = set(), {}
    for number in range(REQUESTS):
        attempt, answer = await case.send(entry, "POST", HOST, "/settle/1",
                                          5000, body=b"fee")
        sent.add(attempt)
        status = answer.status if answer else None
        statuses[status] = statuses.get(status, 0) + 1
        if number % HURRY_EVERY:
            await asyncio.sleep(0.1)
    runs = {}
    for upstream in upstreams:
        for _, attempt in upstream.runs:
            runs.setdefault(attempt, []).append(upstream.id)
    print("answers:", statuses, "the faulty upstream's answers:",
          answers.count(FAULTY), "refusals:", len(refusals), "spoilt:", len(spoilt))
    for attempt, servers in runs.items():
        if attempt in sent and len(servers) > 1:
            case.violated("TWICE: a request that isn't idempotent runs at "
                          + " and ".join(servers), attempt=attempt)


harness.main(run, FOLDER)

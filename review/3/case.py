"""A daemon gets SIGTERM and breaks off a request that it took after it.

Two machines, each alone in its zone, so its clients go on sending to it when
it says that it isn't ready. One client sends a request that may run only once,
3.2 s after the SIGTERM. Its upstream works on it for 2.3 s.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness  # noqa: E402

HOST = "fees.example"
GRACE_S = 6.0
SENT_AFTER_S = 3.2
WORK_S = 2.3
DEADLINE_MS = 5000


async def run(case):
    entry = case.machine("m-1", "front", "zone-a")
    serving = case.machine("m-2", "fees", "zone-b")
    front = harness.Upstream(case, entry, "i-1", "front")
    finished = {}

    async def settle(upstream, request, writer):
        if not request.start.startswith("POST"):
            return False
        attempt = request.header("X-Attempt-Id")
        await asyncio.sleep(WORK_S)
        finished[attempt] = case.record.now()
        case.record.write("work_finished", attempt=attempt)
        writer.write(upstream.success(attempt))
        return True

    fees = harness.Upstream(case, serving, "i-2", "fees", behaviour=settle)
    await case.store.configure(harness.configuration(1, [
        harness.route("r-look", HOST, "/look/", "idempotent", "fees"),
        harness.route("r-settle", HOST, "/settle/", "non_idempotent", "fees",
                      timeout_ms=DEADLINE_MS)], ["front", "fees"]))
    for each in (entry, serving):
        await each.start()
    for each in (front, fees):
        await each.start()
    await case.all_served([entry, serving], HOST, "/look/1")
    # Both machines have run undisturbed for stable_window_ms.
    await asyncio.sleep(5)
    stopped_at = case.record.now()
    if case.trouble:
        entry.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    sent_at = case.record.now()
    attempt, answer = await case.send(entry, "POST", HOST, "/settle/1",
                                      DEADLINE_MS, body=b"fee")
    answered_at = case.record.now()
    ran_at = [time for time, each in fees.runs if each == attempt]
    print("sent %.2f s after the signal, ended %.2f s after it: %s" % (
        sent_at - stopped_at, answered_at - stopped_at,
        answer.start if answer else "no answer"))
    if case.trouble:
        # The platform kills the process at the end of the grace.
        if await entry.ended(stopped_at + GRACE_S - case.record.now()) is None:
            entry.signal(signal.SIGKILL)
    if not ran_at or (answer and answer.status == 200):
        return
    # The excuses of the rule: the deadline or the route's timeout has passed,
    # or the request was sent no later than 3 s after the SIGTERM.
    if answered_at - sent_at >= DEADLINE_MS / 1000:
        return
    if case.trouble and sent_at - stopped_at <= 3.0:
        return
    case.violated(
        "LOST: a request at which its upstream was at work was broken off "
        "and got %s" % (answer.start if answer else "no answer"),
        attempt=attempt, work_finished=finished.get(attempt))


harness.main(run, FOLDER)

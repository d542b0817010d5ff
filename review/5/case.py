"""A daemon is killed just after its upstream has taken itself off the list.

The upstream on m-2 leaves with DELETE first, which its daemon acknowledges,
and goes on serving. The daemon is killed and started again. A heartbeat that
the upstream sent before it left arrives seconds late, at the new process.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness  # noqa: E402

HOST = "walks.example"
DRAIN_S = 2.5
STABLE_WINDOW_S = 4.0
RESTART_DELAY_S = 0.5
BEAT_LATE_S = 2.5
# The leaving upstream serves for drain_ms after the acknowledgement and many
# seconds longer.
SERVES_S = 12.0


async def run(case):
    entry = case.machine("m-1", "front", "zone-a")
    leaving = case.machine("m-2", "back", "zone-a")
    staying = case.machine("m-3", "back", "zone-a")
    machines = [entry, leaving, staying]
    front, gone, back = [
        harness.Upstream(case, each, "i-" + each.name, each.service)
        for each in machines]
    await case.store.configure(harness.configuration(
        1, [harness.route("r-look", HOST, "/", "idempotent", "back")],
        ["front", "back"]))
    for each in machines:
        await each.start()
    for each in (front, gone, back):
        await each.start()
    await case.all_served(machines, HOST, "/look/1")
    await asyncio.sleep(6)
    # No heartbeat follows the DELETE; the late one was sent before it.
    gone.beating.cancel()
    late_beat = gone.heartbeat()
    if await gone.report("DELETE") != 200:
        raise harness.CannotRun("DELETE is not acknowledged")
    acknowledged_at = case.record.now()
    if case.trouble:
        leaving.signal(signal.SIGKILL)
        await leaving.ended(2)
        await asyncio.sleep(RESTART_DELAY_S)
        await leaving.start()
    await asyncio.sleep(max(
        0, acknowledged_at + BEAT_LATE_S - case.record.now()))
    case.record.write("late_heartbeat", server=gone.id)
    await gone.report(body=late_beat)
    await asyncio.sleep(max(
        0, acknowledged_at + STABLE_WINDOW_S + 2 - case.record.now()))
    sent = {}
    while case.record.now() < acknowledged_at + SERVES_S:
        attempt = case.attempt_id()
        sent[attempt] = case.record.now()
        await case.send(entry, "GET", HOST, "/look/1", 1000, attempt=attempt)
        await asyncio.sleep(0.1)
    reached = [(time, attempt) for time, attempt in gone.runs
               if attempt in sent and time > acknowledged_at + DRAIN_S]
    print("%d of %d requests reached the upstream that has left" % (
        len(reached), len(sent)))
    for time, attempt in reached[:3]:
        case.violated("DRAIN: a request reaches an upstream %.2f s after the "
                      "acknowledgement that it is gone"
                      % (time - acknowledged_at), attempt=attempt)


harness.main(run, FOLDER)

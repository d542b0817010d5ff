"""The machine that follows the store for its zone is partitioned from it.

Four machines in one zone. One of them is partitioned from the store and goes
on otherwise. The operator takes a key away and moves a route to another
service. The other machines run, and reach the store, all the while.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness  # noqa: E402

HOST = "walks.example"
CONFIG_APPLY_S = 2.5
STABLE_WINDOW_S = 4.0
CUT_S = 5.5
OPERATOR_TOPIC = "keyed.op"


def follower(case):
    """Name of the machine whose read of the operator's topic waits at the
    store; the others read without waiting."""
    waiting = [(time, name) for (name, topic, wait), time
               in case.store.reads.items()
               if topic == OPERATOR_TOPIC and wait > 0]
    return max(waiting)[1] if waiting else ""


def just_read(case, names):
    """Whether all of these machines have read without waiting within the last
    second, and none within the last tenth."""
    last = [max([time for (name, topic, wait), time in case.store.reads.items()
                 if topic == OPERATOR_TOPIC and wait == 0 and name == each],
                default=0) for each in names]
    now = case.record.now()
    return min(last) > now - 1.0 and max(last) < now - 0.1


def configure(version, service, keys):
    return harness.configuration(
        version,
        [harness.route("r-look", HOST, "/look/", "idempotent", "new"),
         harness.route("r-moved", HOST, "/moved/", "idempotent", service),
         harness.route("r-keyed", HOST, "/keyed/", "idempotent", "new",
                       public=False)],
        ["old", "new"],
        [{"name": "walks", "api_keys": keys, "priority": 1,
          "rate_per_s": 0, "burst": 0}])


async def run(case):
    services = ["old", "new", "old", "new"]
    machines = [case.machine("m-%d" % number, service) for number, service
                in enumerate(services, 1)]
    upstreams = [harness.Upstream(case, each, "i-" + each.name, each.service)
                 for each in machines]
    await case.store.configure(configure(1, "old", ["key-1", "key-2"]))
    for each in machines:
        await each.start()
    for each in upstreams:
        await each.start()
    await case.all_served(machines, HOST, "/look/1")
    # Traffic starts 8 s after the machines.
    await asyncio.sleep(8)
    cut = next(each for each in machines if each.name == follower(case))
    others = [each for each in machines if each is not cut]
    names = [each.name for each in others]
    case.record.write("follower", machine=cut.name)
    # The cut begins, and the change comes, after a read of the others.
    await case.wait_until(lambda: just_read(case, names), 20,
                          "the other machines read the operator's topic")
    if case.trouble:
        case.store.cut_off.add(cut.name)
        case.record.write("partitioned_from_store", machine=cut.name)
    cut_at = case.record.now()
    await asyncio.sleep(0.3)
    await case.store.configure(configure(2, "new", ["key-1"]))
    acknowledged_at = case.record.now()
    await asyncio.sleep(CONFIG_APPLY_S + 0.1)
    late = []
    while case.record.now() < cut_at + CUT_S:
        for each in others:
            sent_at = case.record.now()
            moved, _ = await case.send(each, "GET", HOST, "/moved/1", 1000)
            keyed, _ = await case.send(each, "GET", HOST, "/keyed/1", 1000,
                                       "key-2")
            late.append((each.name, sent_at, moved, keyed))
        await asyncio.sleep(0.1)
    case.store.cut_off.clear()
    case.record.write("cut_healed")
    ran_by = {attempt: upstream.service for upstream in upstreams
              for _, attempt in upstream.runs}
    for name, sent_at, moved, keyed in late:
        after = sent_at - acknowledged_at
        if ran_by.get(moved) == "old":
            case.violated("CONFIG: %.2f s after the acknowledgement %s sends "
                          "a request to the old service" % (after, name),
                          attempt=moved)
        if keyed in ran_by:
            case.violated("CONFIG: %.2f s after the acknowledgement %s lets a "
                          "request with a dropped key run" % (after, name),
                          attempt=keyed)


harness.main(run, FOLDER)

"""A machine that keeps a tenant's limit freezes and wakes.

Three machines of one service. The tenant `walks` asks for more than its limit
from the moment just before the frozen machine wakes. The other tenants send a
few requests a second all the while.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness  # noqa: E402

HOST = "walks.example"
# As in the pages' example, the burst equals the rate of a second.
RATE = BURST = 100
# quota_window_s, quota_overage and quota_slack of the settings' bounds.
WINDOW_S, OVERAGE, SLACK = 5, 0.1, 20
LIMIT = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
FREEZE_S = 4.0
# The limit is 1.6 times what the tenant usually asks for; for 6.5 s it asks
# for 7.5 times its usual, with as well as without the freeze.
HOT_PER_S = 7.5 * RATE / 1.6
HOT_S = 6.5
HOT_BEFORE_WAKING_S = 0.8
HOT_CLIENTS = 24
SMALL_TENANTS = ["shop%d" % number for number in range(1, 8)]
KEEPER = "limit_keeper_changed"


def keeper_of(machines, tenant):
    """Name of the machine that keeps the tenant's limit, by the daemons' logs;
    empty if they don't agree."""
    known = set()
    for machine in machines:
        last = [each["to"] for each in machine.log_events(KEEPER)
                if each["workspace"] == tenant]
        known.add(last[-1] if last else "")
    return known.pop() if len(known) == 1 else ""


async def hot_tenant(case, senders, sent):
    """The tenant's clients send `HOT_PER_S` requests a second in total, at the
    machines that `senders` returns."""
    started = case.record.now()

    async def client(number):
        kept = {}
        due = started + number / HOT_PER_S
        while due < started + HOT_S:
            await asyncio.sleep(max(0, due - case.record.now()))
            due += HOT_CLIENTS / HOT_PER_S
            machines = senders()
            machine = machines[case.random.randrange(len(machines))]
            if machine not in kept:
                kept[machine] = harness.KeptClient(case, machine)
            attempt = case.attempt_id()
            sent[attempt] = case.record.now()
            await kept[machine].send("GET", HOST, "/walk/1", 2000,
                                     "key-walks", attempt=attempt)
        for each in kept.values():
            each.close()

    await asyncio.gather(*(client(number) for number in range(HOT_CLIENTS)))


async def light_traffic(case, machines):
    """The other tenants: one request after the other at each machine."""
    async def at(machine):
        while True:
            for tenant in SMALL_TENANTS:
                await case.send(machine, "GET", HOST, "/shop/1", 1000,
                                "key-" + tenant)
                await asyncio.sleep(0.1)
    await asyncio.gather(*(at(each) for each in machines))


def most_in_window(sent, runs):
    """The most requests that were both sent and run within one window."""
    pairs = sorted((sent[attempt], time) for time, attempt in runs
                   if attempt in sent)
    best, at = 0, 0.0
    for start, _ in pairs:
        end = start + WINDOW_S
        count = sum(1 for sent_at, run_at in pairs
                    if sent_at >= start and run_at < end)
        if count > best:
            best, at = count, start
    return best, at


async def run(case):
    machines = [case.machine("m-%d" % number, "walks") for number in (1, 2, 3)]
    upstreams = [harness.Upstream(case, each, "i-" + each.name, "walks",
                                  slots=200) for each in machines]
    tenants = [{"name": "walks", "api_keys": ["key-walks"], "priority": 1,
                "rate_per_s": RATE, "burst": BURST}]
    tenants += [{"name": name, "api_keys": ["key-" + name], "priority": 1,
                 "rate_per_s": 20, "burst": 5} for name in SMALL_TENANTS]
    await case.store.configure(harness.configuration(
        1, [harness.route("r-walk", HOST, "/", "idempotent", "walks",
                          public=False)], ["walks"], tenants))
    for each in machines:
        await each.start()
    for each in upstreams:
        await each.start()
    await case.all_served(machines, HOST, "/shop/1", 1000, "key-shop1")
    traffic = {each: asyncio.ensure_future(light_traffic(case, [each]))
               for each in machines}
    # Traffic starts 8 s after the machines; the tenant has asked for nothing.
    await asyncio.sleep(8)
    await case.wait_until(lambda: keeper_of(machines, "walks"), 5,
                          "one machine keeps the limit")
    keeper = next(each for each in machines
                  if each.name == keeper_of(machines, "walks"))
    others = [each for each in machines if each is not keeper]
    case.record.write("keeper", machine=keeper.name)
    # No client sends anything to the machine that freezes.
    traffic[keeper].cancel()
    if case.trouble:
        keeper.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S - HOT_BEFORE_WAKING_S)
    sent = {}
    senders = list(others)
    hot = asyncio.ensure_future(hot_tenant(case, lambda: senders, sent))
    await asyncio.sleep(HOT_BEFORE_WAKING_S)
    if case.trouble:
        keeper.signal(signal.SIGCONT)
    senders.append(keeper)
    await hot
    for each in traffic.values():
        each.cancel()
    runs = [each for upstream in upstreams for each in upstream.runs]
    most, at = most_in_window(sent, runs)
    case.record.write("most_in_window", count=most, start=round(at, 3),
                      limit=LIMIT)
    print("most in %d s: %d, allowed %.1f" % (WINDOW_S, most, LIMIT))
    if most > LIMIT:
        case.violated("QUOTA: %d requests of one tenant sent and run in %d s, "
                      "allowed are %.1f" % (most, WINDOW_S, LIMIT))


harness.main(run, FOLDER)

"""A text of an item is joined from pieces of two runs; see claim.txt."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world2 import HOST, Engine, end, now, read, run, submission, submit, trouble

MODEL = "daka510000"
PATH = "/pule252/"
DUE_S = 7.5
# A trainer ends a step that is not complete at its deadline.
DEADLINE_S = 12.0
# An unanswered write is carried out so much later.
LATE_S = 2.6
# When the owner of the first batch is stopped.
STOP_S = 8.8
FIRST, SECOND = "7c41e09b52d6a3f8", "80b1d2c3e4f50617"


def config():
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
              "idleTimeoutMs": 15000}
    routes = [{"name": "r-drill", "hostname": HOST, "prefix": PATH, "type": "rollout",
               "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 0, "service": "guide-lm",
               "maxAttempts": 3, "dueMs": DUE_S * 1000, "itemTtlS": 40.0}]
    engine = {"slots": 8, "kvCapacity": 39998, "kvTokenBytes": 163840, "linkMbps": 4400000.0,
              "models": [{"name": MODEL}]}
    services = [{"name": "guide-lm", "healthPath": "/healthz", "maxConns": 140, "protocol": "h1",
                 "tls": False, "engine": engine}]
    return {"version": 3, "routes": routes, "services": services, "limits": limits}


def judge(world, engine, results):
    faults = []
    for result in results:
        if result["state"] != "completed":
            continue
        marks = [line.rsplit(".", 1) for line in result["text"].split("\n")]
        marks = [(made_by, int(number)) for made_by, number in marks]
        spans = []
        for made_by, number in marks:
            if not spans or spans[-1][0] != made_by:
                spans.append([made_by, number, number])
            spans[-1][2] = number
        world.record.add("result", item=result["id"], versions=result.get("versions"),
                         events=len(marks), spans=spans)
        if [number for _, number in marks] != list(range(1, engine.length + 1)):
            faults.append(f"item {result['id']}: an event is missing or stands twice")
        before = None
        for made_by, first, last in spans:
            item, after = engine.run_starts[made_by]
            if (item, after) != (result["id"], first - 1):
                faults.append(f"item {result['id']}: after event {first - 1} of run {before} the "
                              f"text goes on with run {made_by}, which was asked with "
                              f"Last-Event-Id {after}")
            before = made_by
    return faults


async def main(world):
    store = world.store
    store.put("op", "config", config())
    burst = int(os.environ.get("BURST", "10"))
    engine = await world.add_server(Engine(store, world.record, "guide-lm", [MODEL], length=180,
                                           event_s=0.08, burst=burst))
    for n in (1, 2, 3):
        await world.add_gateway(f"edge-senec-{n}")
    await world.until_ready()
    await asyncio.sleep(3.0)

    lost, restart = [], None
    if trouble():
        # The first write of texts is not answered and carried out later, and so is its repeat, if
        # it has no more of them.
        def on_transaction(caller, change):
            pieces = [json.loads(put[3]) for put in change["puts"] if put[0] == "pieces"]
            is_first = any(it["after"] is None and it["last"] <= burst for it in pieces)
            if len(lost) < 2 and is_first:
                lost.append(caller)
                return LATE_S
            return None
        store.on_transaction = on_transaction

    groups = [f"{0x9c2e40 + n:x}" for n in range(2)]
    start = now()
    await submit(world, PATH, FIRST, submission(PATH, MODEL, 7, 1, groups))
    head = next(name for name in store.rows if name[0] == "batches" and name[2] == FIRST)
    owner = store.get(*(head[0], head[2], head[1]))["owner"].split("/")[0]
    world.record.add("owner", batch=FIRST, owner=owner)
    first = []
    while now() < start + DEADLINE_S - 0.5:
        await read(world, FIRST, first, wait_ms=0)
        await asyncio.sleep(0.45)
        if trouble() and now() > start + STOP_S and len(world.serving()) == 3:
            stopped = next(it for it in world.gateways if it.name == owner)
            if os.environ.get("HOW") == "kill":
                stopped.kill(down_s=3.5)
            else:
                restart = asyncio.create_task(stopped.restart())
    await asyncio.sleep(max(0.0, start + DEADLINE_S - now()))
    await end(world, FIRST)

    # The trainer trains and asks for the groups that were not complete once more.
    await asyncio.sleep(0.5)
    done = {result["id"] for result in first if result["state"] == "completed"}
    again = [group for group in groups if any(f"{group}{n:02x}" not in done for n in range(4))]
    new = [f"{0x5d07b0 + n:x}" for n in range(2)]
    await submit(world, PATH, SECOND, submission(PATH, MODEL, 8, 1, again + new, target=4))
    second, total = [], None
    until = now() + 60
    while now() < until and (total is None or len(second) < total):
        total = await read(world, SECOND, second)
    world.record.add("read whole", first=len(first), second=len(second), total=total)
    if restart:
        await restart
    return judge(world, engine, first + second)


run(__file__, main)

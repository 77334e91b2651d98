"""A server's second answer to a refused request is taken for the answer to its repeat."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w  # noqa: E402

HOST = "ficu95.example"
SERVERS, SLOTS, QUEUE, WORK_S = 5, 2, 1, 0.012
GATEWAYS, LENGTH_S = 8, 60
# Requests come in groups: one each 0.2 s.
GROUP, GROUP_EACH_S = 30, 0.2
# The largest dose of `garble` in the site file: 0.6 of the servers, 3 in 100 of their answers.
# These servers garble refusals only.
GARBLED_SERVERS, GARBLED_SHARE = 3, 0.03


class GarblingServer(w.Server):
    """Sends a second answer after some answers, late: when the next one is expected."""

    garbles = False
    answered, garbled = 0, 0

    async def handle(self, channel, request):
        extra, channel.extra = channel.extra, None
        if extra:
            channel.writer.write(extra)
            self.world.record.add("second answer", server=self.name, to=channel.last,
                                  before=request.header("x-request-id"))
        channel.last = ("refused " if self.refusal(request) else "") + request.header("x-request-id")
        refusal = self.refusal(request)
        if refusal is None:
            await self.occupy()
            try:
                self.world.ran(self, request)
                await asyncio.sleep(self.work_s)
            finally:
                await self.vacate()
        else:
            self.world.record.add("not run", id=request.header("x-request-id"), server=self.name)
        answer = refusal or self.answer(request)
        channel.writer.write(answer)
        await channel.writer.drain()
        self.answered += 1
        if self.garbles and refusal and self.garbled + 1 <= GARBLED_SHARE * self.answered:
            self.garbled += 1
            channel.extra = answer
        return True


async def client(world, gateway, n, answers):
    """One client attempt, as PROTOCOL.md has them: with an id of its own, on a new channel."""
    identity = f"{n:016x}"
    headers = {"X-Request-Id": identity, "X-Deadline-Ms": "3000"}
    world.record.add("sent", id=identity, gateway=gateway["name"])
    try:
        answer = await w.call(gateway["front"], "POST", "/hold/book", HOST, headers, b"hut 7", 4)
        status = int(answer.first.split(" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status = None
    answers[identity] = status
    world.record.add("answered", id=identity, status=status)


async def scenario(world, trouble):
    world.random = random.Random(int(os.environ.get("SEED", "1")))
    await world.store.start()
    await world.configure(
        [{"name": "hold", "hostname": HOST, "prefix": "/hold/", "type": "non_idempotent",
          "timeoutMs": 3000, "targetLatencyMs": 800, "priority": 2, "service": "hut-desk",
          "maxAttempts": 3}], ["hut-desk"])
    servers = [GarblingServer(world, "hut-desk", f"i-{n}", SLOTS, QUEUE, WORK_S)
               for n in range(SERVERS)]
    for server in servers:
        await server.start()
    gateways = [await world.gateway(f"edge-{n}") for n in range(GATEWAYS)]
    for gateway in gateways:
        await world.wait_ready(gateway, "/hold/warm", HOST)
    for server in servers[:GARBLED_SERVERS]:
        server.garbles = trouble
    answers, tasks = {}, []
    end = w.now() + LENGTH_S
    while w.now() < end:
        for _ in range(GROUP):
            gateway = world.random.choice(gateways)
            tasks.append(asyncio.create_task(client(world, gateway, len(tasks), answers)))
        await asyncio.sleep(GROUP_EACH_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    twice = {i: r for i, r in world.runs.items() if len(r) > 1}
    promises = {i: s for i, s in answers.items() if s in (408, 421, 429, 503) and i in world.runs}
    for identity, runs in twice.items():
        world.record.add("TWICE", id=identity, runs=runs, status=answers.get(identity))
    for identity, status in promises.items():
        world.record.add("REFUSED", id=identity, runs=world.runs[identity], status=status)
    served = sum(1 for status in answers.values() if status == 200)
    refused = sum(1 for status in answers.values() if status == 503)
    print(f"{len(answers)} requests, {served} served, {refused} refused; "
          f"run more than once: {len(twice)}; refused and run: {len(promises)}")
    return bool(twice or promises)


w.main(os.path.dirname(os.path.abspath(__file__)), scenario)

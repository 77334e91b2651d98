"""Stand-ins for the second review: the platform's store, model servers, plain servers and a
runner of gateway processes. Written for these cases; it needs only Python's standard library.

One asyncio loop holds the store, the servers and the clients. Gateways are separate processes,
started with the command of deploy/system.toml. Every address is a loopback address on a free port.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "release", "hibiscusroadd")
ZERO = time.monotonic()
HOST = "ficu95.example"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


def now():
    return time.monotonic() - ZERO


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    """Writes what was sent, answered and run: one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")

    def add(self, what, **fields):
        self.file.write(json.dumps({"at": round(now(), 4), "what": what, **fields}) + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads a request or an answer; returns its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


def message(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(port, method, target, headers=(), body=b"", limit=4.0):
    """Makes a call on a new channel; returns the status (0 if there was no answer) and the body."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's metadata store: rows, transactions, a feed and objects.

    `on_transaction(caller, change)` may return None, or a number of seconds: then the call gets
    no answer, its channel delivers nothing further, and the transaction is carried out that much
    later if its condition still holds then.
    """

    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.objects = {}
        self.changed = asyncio.Event()
        self.on_transaction = lambda caller, change: None
        self.on_commit = lambda caller, change: None
        self.servers = []
        self.channels = {}
        self.silent = set()

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a server."""
        self.commit([], [(table, part, key, json.dumps(value).encode())], [])

    def get(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return row and json.loads(row[0])

    def commit(self, expected, puts, removes):
        """Applies a transaction; returns the current rows of the conditions if they don't hold."""
        for table, part, key, version in expected:
            if self.rows.get((table, part, key), (b"", 0))[1] != version:
                return [self.wire(name[:3]) for name in expected if name[:3] in self.rows]
        self.version += 1
        for table, part, key, value in puts:
            self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, (table, part, key), value))
        for name in removes:
            if self.rows.pop(name, None):
                self.history.append((self.version, name, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return None

    def wire(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": base64.b64encode(value).decode(), "ver": version}

    async def listen(self, caller):
        """Opens an address of the store for one gateway; returns its port."""
        async def serve(reader, writer):
            await self.serve(caller, reader, writer)
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 24)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def silence(self, caller=None):
        """Lets the channels that are open now go silent for good, all or one gateway's; new ones
        work."""
        channels = {writer for writer, owner in self.channels.items() if caller in (None, owner)}
        self.record.add("store: open channels go silent", caller=caller, channels=len(channels))
        self.silent |= channels

    async def serve(self, caller, reader, writer):
        self.channels[writer] = caller
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split()
                if writer in self.silent:
                    # Neither this call nor any later one on this channel arrives.
                    await reader.read()
                    return
                answer = await self.answer(caller, method, target, headers, body)
                if answer is None or writer in self.silent:
                    await reader.read()
                    return
                await asyncio.sleep(self.ANSWER_S)
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.channels.pop(writer, None)
            self.silent.discard(writer)
            writer.close()

    async def answer(self, caller, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        call = (method, url.path)
        if call == ("POST", "/rows-tx"):
            return self.transact(caller, json.loads(body))
        if call == ("GET", "/rows-get"):
            limit = min(int(query.get("limit", 500)), 500)
            start, end = query.get("from", ""), query.get("target")
            names = sorted(name for name in self.rows
                           if name[:2] == (query["table"], query.get("part", ""))
                           and name[2] >= start and (end is None or name[2] < end))
            rows = [self.wire(name) for name in names[:limit]]
            return self.json(200, rows=rows, truncated=len(names) > limit)
        if call == ("GET", "/rows-parts"):
            parts = sorted({name[1] for name in self.rows if name[0] == query["table"]})
            return self.json(200, parts=parts, truncated=False)
        if call == ("GET", "/rows-feed"):
            return await self.feed(query)
        name = url.path.rsplit("/", 1)[1]
        if url.path.startswith("/blob-put/"):
            if name in self.objects:
                return message(412)
            self.objects[name] = body
            return message(200)
        if url.path.startswith("/blob-get/"):
            found = self.objects.get(name)
            return message(404) if found is None else message(200, found)
        if url.path.startswith("/blob-drop/"):
            self.objects.pop(name, None)
            return message(200)
        return message(404)

    def json(self, status, **fields):
        fields = {"ver": self.version, "nowMs": int(now() * 1000) + 50000, **fields}
        return message(status, json.dumps(fields).encode(), [("Content-Type", "application/json")])

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = now() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            rows = []
            for version, name, value in self.history:
                if version > after and name[0] == table:
                    row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
                    if value is None:
                        row["removed"] = True
                    else:
                        row["value"] = base64.b64encode(value).decode()
                    rows.append(row)
            if rows or now() >= until:
                return self.json(200, rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except TimeoutError:
                pass

    def transact(self, caller, wire):
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        expected = [(*name(row), row["ver"]) for row in wire.get("expected", [])]
        puts = [(*name(row), base64.b64decode(row["value"])) for row in wire.get("puts", [])]
        removes = [name(row) for row in wire.get("remove", [])]
        change = {"expected": expected, "puts": puts, "remove": removes}
        late = self.on_transaction(caller, change)
        if late is not None:
            self.record.add("store: no answer", caller=caller, late_s=late,
                            keys=[f"{put[0]}/{put[2]}" for put in puts])
            asyncio.get_running_loop().call_later(late, self.commit_late, caller, change)
            return None
        conflict = self.commit(expected, puts, removes)
        if conflict is not None:
            return self.json(412, rows=conflict)
        self.on_commit(caller, change)
        return self.json(200)

    def commit_late(self, caller, change):
        conflict = self.commit(change["expected"], change["puts"], change["remove"])
        self.record.add("store: late transaction", caller=caller, done=conflict is None,
                        keys=[f"{put[0]}/{put[2]}" for put in change["puts"]])


class Server:
    """A server of a service: registers itself, renews its entry, answers requests."""

    HEARTBEAT_S = 1.2
    count = 0

    def __init__(self, store, record, service, models=(), load_s=0.9):
        Server.count += 1
        self.id = f"i-{Server.count:08x}"
        self.store, self.record, self.service = store, record, service
        self.models = {model: 1 for model in models}
        self.load_s = load_s
        self.seq = 0
        self.busy = False
        self.orders = []
        self.runs = 0
        self.running = set()
        self.named = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = 0
        self.register()
        self.task = asyncio.create_task(self.renew())

    def close(self):
        """Ends the server; its entry is not touched."""
        self.task.cancel()
        self.server.close()

    def wire_models(self):
        return [{"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()]

    def register(self):
        self.beats += 1
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "senec",
                 "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                 "seq": self.beats}
        if self.models:
            entry |= {"stage": "both", "models": self.wire_models()}
        self.store.put("servers", self.id, entry)

    async def renew(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT_S)
            self.register()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split()
                path = urllib.parse.urlsplit(target).path
                expected = headers.get("x-expect-instance")
                if expected and expected != self.id:
                    writer.write(message(421, b"", [("X-Instance-Id", self.id)]))
                elif path == "/report":
                    report = {"stage": "both", "models": self.wire_models(), "busy": self.busy,
                              "seq": self.seq, "numWaiting": 0, "numRunning": len(self.running),
                              "kvUsed": 0, "kvTotal": 40000, "handles": 0, "state": "ready"}
                    writer.write(message(200, json.dumps(report).encode(),
                                         [("Content-Type", "application/json")]))
                elif (method, path) == ("POST", "/order"):
                    status = self.order(json.loads(body))
                    if status is None:
                        return
                    writer.write(message(status))
                elif path == "/healthz":
                    writer.write(message(200, b"", [("X-Instance-Id", self.id)]))
                elif self.models:
                    if not await self.generate(writer, reader, headers):
                        return
                else:
                    self.record.add("call", server=self.id, id=headers.get("x-request-id"))
                    writer.write(message(200, b"scored", self.echo(headers)))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def echo(self, headers):
        self.runs += 1
        return [("X-Request-Id", headers.get("x-request-id", "")),
                ("X-Server-Stamp", f"{self.id}.{self.runs}")]

    def order(self, order):
        """Handles an order; returns the status, or None if it gets no answer."""
        if not order.get("holder") or "fence" not in order:
            status = 400
        elif order["version"] > self.named.get(order["model"], 1):
            status = 400
        elif self.busy or order.get("expected", self.seq) != self.seq:
            status = 409
        elif self.models.get(order["model"]) == order["version"]:
            status = 200
        else:
            status = 202
            self.seq += 1
            self.busy = True
            asyncio.get_running_loop().call_later(self.load_s, self.loaded, order)
        seen = {"at": now(), "server": self.id, "holder": order.get("holder"),
                "fence": order.get("fence"), "model": order.get("model"),
                "version": order.get("version"), "status": status}
        self.orders.append(seen)
        self.record.add("order", **{name: value for name, value in seen.items() if name != "at"})
        return status

    def loaded(self, order):
        self.models[order["model"]] = order["version"]
        self.busy = False
        self.register()

    async def generate(self, writer, reader, headers):
        """Answers an item; returns whether the channel goes on."""
        raise NotImplementedError


class Engine(Server):
    """Streams texts of `length` events in bursts. An event's data names its run and its number."""

    def __init__(self, store, record, service, models, length, event_s, burst=1, load_s=0.9):
        super().__init__(store, record, service, models, load_s)
        self.length, self.event_s, self.burst = length, event_s, burst
        self.run_starts = {}

    async def generate(self, writer, reader, headers):
        item, after = headers["x-request-id"], int(headers.get("last-event-id", 0))
        model = headers["x-model"]
        echo = self.echo(headers)
        number = f"{self.id}/{self.runs}"
        self.run_starts[number] = (item, after)
        self.record.add("run", run=number, item=item, after=after)
        version = self.models[model]
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 f"X-Weight-Versions: {version}", f"X-Server-Load: {len(self.running) + 1},0,8"]
        lines += [f"{name}: {value}" for name, value in echo]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.running.add(number)
        closed = asyncio.create_task(reader.read(1))
        try:
            sent = after
            while sent < self.length:
                count = min(self.burst, self.length - sent)
                await asyncio.wait([closed], timeout=self.event_s * count)
                if closed.done():
                    return False
                events = ""
                for n in range(sent + 1, sent + count + 1):
                    if self.models[model] != version:
                        version = self.models[model]
                        events += f"x-weight-versions: {version}\n"
                    events += f"id: {n}\ndata: {number}.{n}\n\n"
                sent += count
                writer.write(f"{len(events):x}\r\n{events}\r\n".encode())
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            # The channel was watched for its end, so it isn't used again.
            return False
        finally:
            closed.cancel()
            self.running.discard(number)


class Gateway:
    """A gateway process."""

    SETTINGS = """name = "{name}"
host = "{name}"
place = "senec"
region = "zapad"
regions = {{ "senec" = "zapad", "trnava" = "zapad", "piestany" = "zapad" }}

[gateway]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
store = "127.0.0.1:{store}"
metrics = "127.0.0.1:{metrics}"
peers = "127.0.0.1:{peers}"
lease_ms = 3000
keep_s = 120
row_bytes = 65536
fences = {fences}
memory_mb = 300
conditions = ["base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "platform"]

[stop]
deadline_s = 8
"""

    def __init__(self, world, name, store_port, fences):
        self.world, self.name = world, name
        ports = dict(zip(("callers", "ready", "metrics", "peers"), free_ports(4)))
        self.callers, self.ready = ports["callers"], ports["ready"]
        self.settings = os.path.join(world.folder, f"{name}.toml")
        with open(self.settings, "w") as file:
            file.write(self.SETTINGS.format(name=name, store=store_port, fences=str(fences).lower(),
                                            **ports))
        self.process = None
        self.leaving = False
        self.start()

    def start(self):
        self.output = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([DAEMON, self.settings], cwd=ROOT, stdout=self.output,
                                        stderr=self.output, stdin=subprocess.DEVNULL)
        self.world.record.add("gateway started", name=self.name)

    def kill(self, down_s):
        """Kills the process; the platform starts it again after `down_s` seconds."""
        self.world.record.add("gateway killed", name=self.name)
        self.process.kill()
        self.process.wait()
        asyncio.get_running_loop().call_later(down_s, self.start)

    async def restart(self):
        """Stops the process with SIGTERM; the platform starts it again once it has ended."""
        self.world.record.add("gateway gets SIGTERM", name=self.name)
        self.leaving = True
        self.process.terminate()
        while self.is_running():
            await asyncio.sleep(0.05)
        self.world.record.add("gateway ended", name=self.name, code=self.process.returncode)
        await asyncio.sleep(0.5)
        self.start()
        self.leaving = False

    def is_running(self):
        return self.process.poll() is None


class World:
    """A store, servers and gateways, with a configuration."""

    def __init__(self, case):
        self.folder = tempfile.mkdtemp(prefix="hibiscusroad-review-")
        folder = os.path.dirname(os.path.abspath(case))
        self.record = Record(sys.argv[1] if len(sys.argv) > 1 else os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.gateways = []
        self.servers = []

    async def add_server(self, server):
        await server.start()
        self.servers.append(server)
        return server

    async def add_gateway(self, name, fences=True):
        if not os.path.exists(DAEMON):
            raise CannotRun("the daemon is not built")
        gateway = Gateway(self, name, await self.store.listen(name), fences)
        self.gateways.append(gateway)
        return gateway

    def name_version(self, model, version):
        """Names a version as the trainer does."""
        for server in self.servers:
            server.named[model] = version
        self.store.put("op", f"version/{model}", {"model": model, "version": version})
        self.record.add("version named", model=model, version=version)

    def serving(self):
        """Returns the gateways to which the platform sends new channels."""
        return [gateway for gateway in self.gateways if gateway.is_running() and not gateway.leaving]

    async def until(self, what, condition, limit=20.0):
        end = now() + limit
        while now() < end:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise CannotRun(f"timed out: {what}")

    async def until_ready(self):
        async def all_ready():
            answers = [await call(gateway.ready, "GET", "/readyz") for gateway in self.gateways]
            return all(status == 200 for status, _ in answers)
        await self.until("all gateways are ready", all_ready)

    def end(self):
        for gateway in self.gateways:
            if gateway.process and gateway.is_running():
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def submission(path, model, step, version, groups, size=4, target=None):
    """Returns the body of a batch submission."""
    items = [{"id": f"{group}{n:02x}", "path": f"{path}{step}/{group}", "group": group,
              "headers": {"X-Model": model, "X-Token-Counts": "271,300",
                          "X-Prompt-Prefix": f"{group}:255,{group}{n:02x}:16"},
              "body": base64.b64encode(b"a prompt").decode(), "tokens": 571}
             for group in groups for n in range(size)]
    return json.dumps({"step": step, "model": model, "minVersion": version,
                       "targetGroups": target or len(groups), "requests": items}).encode()


async def submit(world, path, id, body):
    """Submits a batch as a trainer does: again at another gateway until there is a 202."""
    headers = [("X-Request-Id", id), ("Content-Type", "application/json")]
    while True:
        for gateway in world.serving():
            status, _ = await call(gateway.callers, "POST", f"{path}{id}", headers, body)
            world.record.add("submitted", batch=id, to=gateway.name, status=status)
            if status == 202:
                return
        await asyncio.sleep(0.3)


async def read(world, id, results, wait_ms=1000):
    """Reads the next results; returns the total, or None if no gateway answered."""
    for gateway in world.serving():
        status, body = await call(gateway.callers, "GET", f"/lots/{id}?after={len(results)}",
                                  [("X-Wait-Ms", str(wait_ms))])
        if status == 200:
            page = json.loads(body)
            results.extend(page["results"])
            return page["total"]
        world.record.add("read", batch=id, at_gateway=gateway.name, status=status)
    return None


async def end(world, id):
    """Ends a batch as a trainer does."""
    while True:
        for gateway in world.serving():
            status, _ = await call(gateway.callers, "DELETE", f"/lots/{id}")
            if status == 200:
                world.record.add("ended", batch=id)
                return
        await asyncio.sleep(0.3)


def run(case, main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    async def guarded():
        world = World(case)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                faults = await main(world)
            for fault in faults:
                world.record.add("RULE BROKEN", why=fault)
                print("rule broken:", fault)
            if not faults:
                print("the rule held")
            return 1 if faults else 0
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            world.record.add("could not run", why=str(error))
            print("could not run:", error)
            return 2
        finally:
            world.end()
    code = asyncio.run(guarded())
    sys.stdout.flush()
    os._exit(code)

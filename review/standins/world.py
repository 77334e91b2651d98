"""Stand-ins of the platform's store and of plain servers, and a runner of gateways.

Only the standard library is used. One asyncio loop holds the store, the servers and the
clients; gateways are separate processes, started with the command of deploy/system.toml.
All addresses are loopback addresses on free ports. The stand-ins follow PROTOCOL.md.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "release", "hibiscusroadd")
START = time.monotonic()


def now():
    return time.monotonic() - START


def free_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


class Record:
    """What was sent, answered and run: one line of JSON each."""

    def __init__(self, path):
        self.file = open(path, "w")

    def add(self, what, **fields):
        self.file.write(json.dumps({"at": round(now(), 4), "what": what, **fields}) + "\n")

    def close(self):
        self.file.close()


class Message:
    """A request or an answer with a length, in chunks, or ended by the channel."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, is_answer=False):
    first, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body = await reader.read()
    return Message(first, headers, body)


def encode(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Store:
    """The platform's metadata store, without impairments."""

    def __init__(self):
        self.rows, self.log, self.version, self.blobs = {}, [], 0, {}
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "ver": version,
                "value": base64.b64encode(value).decode()}

    def now_ms(self):
        return int(now() * 1000) + 1000

    async def put(self, table, key, value, part=""):
        async with self.changed:
            self.version += 1
            self.rows[(table, part, key)] = (json.dumps(value).encode(), self.version)
            self.log.append((self.version, (table, part, key)))
            self.changed.notify_all()

    async def remove(self, table, key, part=""):
        async with self.changed:
            if self.rows.pop((table, part, key), None):
                self.version += 1
                self.log.append((self.version, (table, part, key)))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.first.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, body = await self.answer(method, url.path, query, request)
                writer.write(encode(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, request):
        if path == "/rows-tx":
            await asyncio.sleep(0.003)
            status, found = await self.transact(json.loads(request.body))
            return status, json.dumps(found).encode()
        if path == "/rows-get":
            return 200, json.dumps(self.read(query)).encode()
        if path == "/rows-parts":
            parts = sorted({key[1] for key in self.rows if key[0] == query["table"]})
            found = {"parts": parts, "ver": self.version, "nowMs": self.now_ms()}
            return 200, json.dumps(found).encode()
        if path == "/rows-feed":
            return 200, json.dumps(await self.feed(query)).encode()
        call, _, name = path.strip("/").partition("/")
        if call == "blob-put":
            if name in self.blobs and request.header("if-none-match"):
                return 412, b"{}"
            self.blobs[name] = request.body
            return 200, b"{}"
        if call == "blob-get":
            return (200, self.blobs[name]) if name in self.blobs else (404, b"{}")
        if call == "blob-drop":
            self.blobs.pop(name, None)
            return 200, b"{}"
        return 404, b"{}"

    async def transact(self, change):
        def key(row):
            return row["table"], row.get("part", ""), row["key"]

        async with self.changed:
            expected = [(key(row), row.get("ver", 0)) for row in change.get("expected", [])]
            if any(self.rows.get(k, (b"", 0))[1] != version for k, version in expected):
                rows = [self.row(k) for k, _ in expected if k in self.rows]
                return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            self.version += 1
            for row in change.get("puts", []):
                self.rows[key(row)] = (base64.b64decode(row["value"]), self.version)
                self.log.append((self.version, key(row)))
            for row in change.get("remove", []):
                if self.rows.pop(key(row), None):
                    self.log.append((self.version, key(row)))
            self.changed.notify_all()
            return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def read(self, query):
        start, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in self.rows
                      if k[0] == query["table"] and k[1] == query.get("part", "")
                      and k[2] >= start and (end is None or k[2] < end))
        return {"rows": [self.row(k) for k in keys[:limit]], "truncated": len(keys) > limit,
                "ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, query):
        after, end = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000

        def changes():
            keys = {k: v for v, k in self.log if v > after and k[0] == query["table"]}
            return [self.row(k) if k in self.rows else
                    {"table": k[0], "part": k[1], "key": k[2], "removed": True} for k in keys]

        async with self.changed:
            while not changes() and now() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    break
            return {"rows": changes(), "ver": self.version, "nowMs": self.now_ms()}


class Server:
    """A sound plain server: slots, a short queue, and refusals that say so.

    `handle` may be replaced to answer otherwise.
    """

    def __init__(self, world, service, name, slots, queue, work_s):
        self.world, self.service, self.name = world, service, name
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.running, self.waiting = 0, 0
        self.free = asyncio.Condition()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        await self.world.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "senec", "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "seq": 1})

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        channel = Channel(reader, writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self.handle(channel, request):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            channel.is_open = False
            writer.close()

    def refusal(self, request):
        """Returns the answer to a request that is not run, if it is refused."""
        identity = ("X-Request-Id", request.header("x-request-id", ""))
        if request.header("x-expect-instance", self.name) != self.name:
            return encode(421, [identity, ("X-Not-Executed", "1")], b"")
        if self.running + self.waiting >= self.slots + self.queue:
            headers = [identity, ("X-Not-Executed", "1"), ("X-Server-Load", self.load())]
            return encode(503, headers, b"")
        return None

    async def occupy(self):
        async with self.free:
            self.waiting += 1
            while self.running >= self.slots:
                await self.free.wait()
            self.waiting -= 1
            self.running += 1

    async def vacate(self):
        async with self.free:
            self.running -= 1
            self.free.notify()

    async def handle(self, channel, request):
        """Answers one request; returns whether the channel is kept."""
        refusal = self.refusal(request)
        if refusal is None:
            await self.occupy()
            try:
                self.world.ran(self, request)
                await asyncio.sleep(self.work_s)
            finally:
                await self.vacate()
        channel.writer.write(refusal or self.answer(request))
        await channel.writer.drain()
        return True

    def answer(self, request, body=None):
        identity = request.header("x-request-id")
        body = body if body is not None else f"{identity} by {self.name}".encode()
        return encode(200, [("X-Request-Id", identity), ("X-Server-Stamp", f"stamp.{identity}"),
                            ("X-Server-Load", self.load())], body)


class Channel:
    def __init__(self, reader, writer):
        self.reader, self.writer, self.is_open = reader, writer, True
        self.extra, self.last = None, None


class World:
    """A store, servers and gateways, and the record of a run."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.store, self.gateways, self.runs = Store(), [], {}

    def ran(self, server, request):
        identity = request.header("x-request-id")
        self.runs.setdefault(identity, []).append((round(now(), 4), server.name))
        self.record.add("runs", id=identity, server=server.name)

    async def configure(self, routes, services):
        await self.store.put("op", "config", {
            "version": 3, "routes": routes,
            "services": [s if isinstance(s, dict) else
                         {"name": s, "healthPath": "/healthz", "maxConns": 110}
                         for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}})

    async def gateway(self, name):
        """Starts a gateway with the settings that deploy/gateway.toml gives on a small site."""
        ports = [free_port() for _ in range(4)]
        callers, ready, metrics, peers = ["127.0.0.1:%d" % port for port in ports]
        path = os.path.join(self.dir, name + ".toml")
        with open(path, "w") as file:
            file.write(f'''name = "{name}"
host = "{name}"
place = "senec"
region = "zapad"
regions = {{ "senec" = "zapad" }}

[gateway]
callers = "{callers}"
ready = "{ready}"
store = "{self.store.address}"
metrics = "{metrics}"
peers = "{peers}"
lease_ms = 3000
keep_s = 120
row_bytes = 65536
fences = true
memory_mb = 300
conditions = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]

[stop]
deadline_s = 8
''')
        log = open(os.path.join(self.dir, name + ".log"), "w")
        process = subprocess.Popen([DAEMON, path], stdout=log, stderr=log, cwd=ROOT)
        gateway = {"name": name, "process": process, "front": callers, "ready": ready}
        self.gateways.append(gateway)
        return gateway

    async def wait_ready(self, gateway, path, host):
        """Waits until a gateway is ready and knows a server."""
        for _ in range(400):
            if gateway["process"].poll() is not None:
                raise RuntimeError("a gateway has ended")
            try:
                answer = await call(gateway["ready"], "GET", "/readyz", host, {}, b"", 1)
                if answer.first.split(" ")[1] == "200":
                    headers = {"X-Request-Id": "warm-" + os.urandom(6).hex(),
                               "X-Deadline-Ms": "5000"}
                    answer = await call(gateway["front"], "POST", path, host, headers, b"x", 6)
                    if answer.first.split(" ")[1] == "200":
                        return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("a gateway does not become ready")

    def stop(self):
        for gateway in self.gateways:
            if gateway["process"].poll() is None:
                gateway["process"].send_signal(signal.SIGKILL)
            gateway["process"].wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def encode_request(method, path, host, headers, body):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    head += "".join(f"{n}: {v}\r\n" for n, v in headers.items())
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


async def call(address, method, path, host, headers, body, timeout):
    """Sends a request on a new channel and reads its whole answer."""
    ip, port = address.split(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=1 << 24), 1)
    try:
        writer.write(encode_request(method, path, host, headers, body))
        await writer.drain()
        return await asyncio.wait_for(read_message(reader, True), timeout)
    finally:
        writer.close()


def main(folder, scenario):
    """Runs a scenario, which returns the verdict; exits with 0, 1 or 2."""
    import sys
    import traceback

    # Gateways are ended also if the script is.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    world = World(folder)
    code = 2
    try:
        if not os.path.exists(DAEMON):
            raise RuntimeError("target/release/hibiscusroadd is not built")

        async def bounded():
            # Channels that are still open at the end are no error.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            return await asyncio.wait_for(scenario(world, os.environ.get("TROUBLE") != "0"), 110)

        code = 1 if asyncio.run(bounded()) else 0
    except BaseException:
        traceback.print_exc()
        code = 2
    finally:
        world.stop()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)

"""Stand-ins for the platform's store, engines and requesters, and a starter for daemons.

Everything runs on loopback addresses and on the real clock. The stand-ins follow PROTOCOL.md and
DEPLOY.md; the figures of the settings are those of the site diofeny-pork.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/bin/fulmarpoint-platformd"
HOST = "shop.example"
ZONES = ["buda-a", "pest-b", "kecs-c", "szol-d"]
REASONS = {200: "OK", 403: "Forbidden", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
BEAT_S = 1.2
LAPSE_S = 3 * BEAT_S


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers with names in lower case; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class HttpServer:
    """Accepts connections and calls `serve(reader, writer, method, target, headers, body)`."""

    def __init__(self, serve):
        self.serve = serve
        self.server = None
        self.writers = set()
        self.address = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.accept, ip, port, limit=1 << 22)
        ip, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ")
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                if not await self.serve(reader, writer, method, target, headers, body):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Resets all connections and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def reply(writer, status, body=b"", headers=()):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n"
    writer.write(head.encode() + body)


class Store:
    """The platform's store: rows with versions, a feed of changes, conditional transactions."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changes = []
        self.era = 0
        self.down = None  # None, "silent" or "busy"
        self.copies = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.http = HttpServer(self.serve)

    async def start(self):
        await self.http.start("127.0.0.1")

    @property
    def address(self):
        return self.http.address

    def put(self, table, key, value, part=""):
        self.commit([(table, part, key, value)], [])
        return self.version

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.commit([], [(table, part, key)])

    def commit(self, puts, removes):
        self.version += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.version)
            self.changes.append((self.version, table, part, key, value))
        for table, part, key in removes:
            self.rows.pop((table, part, key), None)
            self.changes.append((self.version, table, part, key, None))
        self.copies.append((time.monotonic(), dict(self.rows), self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, age_s):
        """Comes back from a copy that is `age_s` old; what was written since is gone."""
        at = time.monotonic() - age_s
        older = [copy for copy in self.copies if copy[0] <= at]
        _, rows, version = older[-1]
        self.rows, self.version = dict(rows), version
        self.changes = []
        self.oldest = version
        self.era += 1
        self.copies = older
        self.record.write(f"store: restored from a copy {age_s} s old, version {version}")

    def row(self, table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def serve(self, reader, writer, method, target, headers, body):
        while self.down == "silent":
            await asyncio.sleep(0.02)
            if reader.at_eof():
                return False
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if self.down == "busy":
            self.answer(writer, 503, {})
        elif url.path == "/fulmarpoint/rows-get":
            self.answer(writer, 200, self.get(query))
        elif url.path == "/fulmarpoint/rows-feed":
            status, answer = await self.feed(query)
            if self.down == "silent":
                return await self.serve(reader, writer, method, target, headers, body)
            self.answer(writer, status, answer)
        elif url.path == "/fulmarpoint/rows-tx":
            self.answer(writer, *self.transaction(json.loads(body)))
        else:
            self.answer(writer, 404, {})
        await writer.drain()
        return True

    def answer(self, writer, status, answer):
        answer = {"ver": self.version, "nowMs": int(time.monotonic() * 1000), **answer}
        reply(writer, status, json.dumps(answer).encode(),
              [("Content-Type", "application/json"), ("Store-Era", self.era)])

    def get(self, query):
        found = sorted((key, value) for (table, part, key), value in self.rows.items()
                       if table == query["table"] and part == query.get("part", "")
                       and key >= query.get("from", "") and ("to" not in query or key < query["to"]))
        found = found[:int(query.get("limit", 500))]
        return {"rows": [self.row(query["table"], query.get("part", ""), key, *value)
                         for key, value in found], "hasMore": False}

    async def feed(self, query):
        after = int(query["afterRev"])
        end = time.monotonic() + min(30.0, int(query.get("waitMs", 0)) / 1000)
        era = self.era
        while True:
            if after < self.oldest or after > self.version or era != self.era:
                return 410, {}
            rows = {}
            for version, table, part, key, value in self.changes:
                if version > after and table == query["table"]:
                    rows[(part, key)] = self.row(table, part, key, value, version)
            left = end - time.monotonic()
            if rows or left <= 0 or self.down:
                return 200, {"rows": sorted(rows.values(), key=lambda row: row["ver"])}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass

    def transaction(self, call):
        for row in call["puts"] + call["remove"]:
            if row["table"] in ("op", "servers"):
                return 403, {}
        failed = False
        current = []
        for condition in call["ifRev"]:
            name = (condition["table"], condition["part"], condition["key"])
            known = self.rows.get(name)
            failed = failed or (known[1] if known else 0) != condition["ver"]
            if known:
                current.append(self.row(*name, *known))
        if failed:
            return 412, {"rows": current}
        self.commit([(row["table"], row["part"], row["key"], base64.b64decode(row["value"]))
                     for row in call["puts"]],
                    [(row["table"], row["part"], row["key"]) for row in call["remove"]])
        return 200, {}


class Engine:
    """An engine; `run(engine, request)` does the work of a request that it has begun to run."""

    count = 0

    def __init__(self, store, record, service, zone, run, slots=64):
        Engine.count += 1
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.id = f"i-{Engine.count:04d}{random.randrange(1 << 24):06x}"
        self.run = run
        self.slots = slots
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.up = False
        self.http = HttpServer(self.serve)
        self.beats = None

    async def start(self, port=0):
        self.http = HttpServer(self.serve)
        await self.http.start("127.0.0.1", port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.up = True
        self.beat()
        if self.beats is None:
            self.beats = asyncio.ensure_future(self.beat_loop())

    def beat(self):
        self.sequence += 1
        self.last_beat = time.monotonic()
        entry = {"service": self.service, "address": self.http.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                 "stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}],
                 "seq": self.sequence, "born": self.born}
        self.store.put("servers", self.id, json.dumps(entry).encode())

    async def beat_loop(self):
        while True:
            await asyncio.sleep(BEAT_S)
            if self.up and not self.store.down:
                self.beat()
            elif not self.up and time.monotonic() - self.last_beat > LAPSE_S:
                self.store.remove("servers", self.id)

    def crash(self):
        self.up = False
        self.record.write(f"engine {self.id}: crashes")
        self.http.crash()

    async def come_back(self, after_s):
        port = int(self.http.address.rpartition(":")[2])
        await asyncio.sleep(after_s)
        await self.start(port)
        self.record.write(f"engine {self.id}: is back")

    async def serve(self, reader, writer, method, target, headers, body):
        request = Request(reader, writer, method, target, headers, body)
        if headers.get("fulmarpoint-expect-instance", self.id) != self.id:
            reply(writer, 421, b"", [("Fulmarpoint-Instance-Id", self.id),
                                     ("Fulmarpoint-Request-Id", request.id)])
            return True
        self.record.write(f"engine {self.id}: receives {request.id} {method} {target} "
                          f"key_of={headers.get('fulmarpoint-tenant', '-')} "
                          f"after={headers.get('last-event-id', '-')}")
        kept = await self.run(self, request)
        await writer.drain()
        return kept


class Request:
    """A request at an engine."""

    def __init__(self, reader, writer, method, target, headers, body):
        self.reader, self.writer = reader, writer
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.id = headers.get("fulmarpoint-request-id", "")

    def seal(self):
        return [("Fulmarpoint-Request-Id", self.id), ("Fulmarpoint-Server-Seal", "seal-" + self.id)]

    def answer(self, status, body):
        reply(self.writer, status, body, self.seal())

    def begin_stream(self):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in self.seal()) + "\r\n"
        self.writer.write(head.encode())

    def event(self, number, size):
        text = f"id: {number}\ndata: "
        event = (text + "x" * max(1, size - len(text) - 2) + "\n\n").encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(event), event))

    def end_stream(self):
        self.writer.write(b"0\r\n\r\n")


class Daemon:
    """One process of the program in the deploy file, with the settings of a machine of its own."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.ip = f"127.0.1.{number}"
        self.name = f"front-{number}"
        self.process = None
        self.starts = 0

    def settings(self):
        ports, ip = self.world.ports, self.ip
        lines = {
            "nodeName": self.name, "role": "daemon", "machineClass": "front",
            "serves": "front,directory", "bindIp": ip, "zone": ZONES[self.number % len(ZONES)],
            "region": "hu-central", **{f"zones.{zone}": "hu-central" for zone in ZONES},
            "listen.front": f"{ip}:{ports['front']}", "listen.ready": f"{ip}:{ports['ready']}",
            "listen.directory": f"{ip}:{ports['directory']}",
            "portRange": f"{ports['peer']},{ports['peer'] + 1}", "seedAddrs": "",
            "bootstrap": "true", "countsAsLoss": "false", "limits.cpuShare": 0.25,
            "limits.cores": 1, "limits.memoryMb": 260, "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0, "limits.diskMb": 0, "discovery": "platform",
            "entry": "directory", "beatMs": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,"
                         "pressure,platform",
            "tolerate.machines": 1, "tolerate.zones": 0, "tolerate.regions": 0,
            "bounds.seedLagS": 3, "bounds.reuseAfterS": 2, "bounds.contactMs": 3000,
            "bounds.ackMs": 4000, "bounds.catchUpS": 4, "bounds.drainMs": 2000,
            "bounds.graceS": 8, "bounds.lostSlackMs": 200, "bounds.configApplyMs": 2000,
            "bounds.downgradeMs": 250, "bounds.skewMaxMs": 5000, "bounds.revokeStrict": "true",
            "bounds.revokeMs": 5000, "bounds.retryRatio": 0.8, "bounds.retryWindowS": 10,
            "bounds.retrySlack": 150, "bounds.exposureShare": 0.1, "bounds.exposureSlack": 50,
            "bounds.rollbackMs": 5000, "bounds.recoveryS": 12, "bounds.passMs": 120,
            "bounds.reuseWindowS": 10, "bounds.ttl_max_s": 5,
            "platform.address": self.world.store.address, "platform.form": "table",
            "platform.writesPerS": 400, "platform.readsPerS": 2000, "platform.txMs": 5.0,
            "platform.partWritesS": 200, "platform.rowBytes": 65536, "platform.across": "false",
            "platform.historyS": 20, "platform.blobBytes": 8388608, "platform.blobMs": 25.0,
            "platform.blobBwS": 80.0,
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    @property
    def front(self):
        return (self.ip, self.world.ports["front"])

    def start(self):
        path = pathlib.Path(self.world.folder) / f"{self.name}.conf"
        path.write_text(self.settings(), encoding="utf-8")
        self.starts += 1
        log = open(pathlib.Path(self.world.folder) / f"{self.name}.{self.starts}.log", "wb")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["FULMARPOINT_BOOT"] = str(path)
        self.process = subprocess.Popen([PROGRAM, "--metrics-port", str(self.world.ports["metrics"])],
                                        cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.world.record.write(f"{self.name}: started, process {self.process.pid}")

    def signal(self, number):
        self.world.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        try:
            answer = await call((self.ip, self.world.ports["ready"]), "GET",
                                "/fulmarpoint/readiness", {"Host": self.ip}, timeout_s=1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer[0] == 200


async def call(address, method, target, headers, body=b"", timeout_s=5.0):
    """Sends a request on a new connection. Returns status, headers and the body; None if the
    connection ends without a whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        try:
            text = f"{method} {target} HTTP/1.1\r\n"
            fields = {"Host": HOST, **headers, "Content-Length": len(body)}
            text += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            writer.write(text.encode() + body)
            head = await read_head(reader)
            if head is None:
                return None
            line, answered = head
            data = await reader.readexactly(int(answered.get("content-length", 0)))
            return int(line.split(" ")[1]), answered, data
        except (ConnectionError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout_s)


class World:
    """The store, the engines and the daemons of one run."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="fulmarpoint-review-")
        self.folder = self.temporary.name
        self.store = Store(self.record)
        self.engines = []
        self.daemons = []
        self.ports = {name: free_port() for name in
                      ("front", "ready", "directory", "peer", "metrics")}

    def configuration(self, version, routes, tenants):
        return json.dumps({
            "version": version, "routes": routes,
            "services": [
                {"name": "drafting-llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1",
                 "tls": False, "engine": {"slots": 64, "kvCapacity": 55000, "kvTokenBytes": 163840,
                                          "linkMbps": 1100000.0, "moves": False, "backups": False,
                                          "stride": 6, "most": 12, "pinMs": 4000.0,
                                          "holdMs": 2000.0, "handleS": 4.0,
                                          "models": [{"name": "m"}]}},
                {"name": "order-desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                 "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants}).encode()

    async def start_daemons(self, count):
        self.daemons = [Daemon(self, number) for number in range(1, count + 1)]
        for daemon in self.daemons:
            daemon.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons, timeout_s=10.0):
        end = time.monotonic() + timeout_s
        for daemon in daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.05)

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder, keep], check=False)
        self.temporary.cleanup()


STREAM_ROUTE = {"name": "r-quote", "host": HOST, "prefix": "/quote/", "kind": "stream",
                "timeoutMs": 25000, "goalMs": 4500, "priority": 1, "service": "drafting-llm",
                "attempts": 5, "public": False, "sticky": True, "canResume": True, "gapGoalMs": 700}
ORDER_ROUTE = {"name": "r-order", "host": HOST, "prefix": "/order/", "kind": "non_idempotent",
               "timeoutMs": 1000, "goalMs": 150, "priority": 2, "service": "order-desk",
               "attempts": 1, "public": False}
STOCK_ROUTE = {"name": "r-stock", "host": HOST, "prefix": "/stock/", "kind": "idempotent",
               "timeoutMs": 1000, "goalMs": 150, "priority": 2, "service": "order-desk",
               "attempts": 2, "public": False}


def main(folder, case):
    """Runs the coroutine `case(world, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        try:
            await world.store.start()
            held = await asyncio.wait_for(case(world, trouble), 115)
            world.record.write("result: the rule " + ("held" if held else "was broken"))
            return 0 if held else 1
        except Exception as error:  # the case could not run
            world.record.write(f"result: the case could not run: {error!r}")
            return 2
        finally:
            world.stop()
    return asyncio.run(run())

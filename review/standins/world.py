"""Stand-ins for the platform's store, engines and requesters, and a runner for the daemons.

Everything runs on loopback addresses and the real clock. The stand-ins follow PROTOCOL.md; a test
gives an engine a `behaviour` to add the disruption that it needs.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DAEMON = ["target/bin/fulmarpoint-platformd", "--metrics-port", "9464"]
BEAT_S = 1.2
HEAD_END = b"\r\n\r\n"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def line(self, text):
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


class Message:
    """A request or an answer as received."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Returns the head of a message; None if the peer closed the connection before it."""
    try:
        data = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError:
        return None
    lines = data[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_message(reader):
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.header("Transfer-Encoding").lower():
        message.body = await read_chunks(reader)
    elif message.header("Content-Length"):
        message.body = await reader.readexactly(int(message.header("Content-Length")))
    return message


def format_answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


def reset(writer):
    """Closes a connection with a reset, as the kernel does for a process that was killed."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store:
    """The platform's metadata store (form `table`)."""

    def __init__(self, record):
        self._record = record
        self._tables = {}
        self._version = 1
        self._era = 1
        self._changed = asyncio.Event()
        self._copy = None
        # While away, the store resets each connection.
        self.away = False
        self.address = ""
        self._server = None

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        self._version += 1
        self._tables.setdefault(table, {})[key] = (json.dumps(value).encode(), self._version, False)
        self._notify()

    def remove(self, table, key):
        if key not in self._tables.get(table, {}):
            return
        self._version += 1
        self._tables[table][key] = (b"", self._version, True)
        self._notify()

    def take_copy(self):
        self._copy = ({name: dict(rows) for name, rows in self._tables.items()}, self._version)

    def restore(self):
        """Comes back from the copy: what was written since is gone, and versions go back."""
        tables, self._version = self._copy
        self._tables = {name: dict(rows) for name, rows in tables.items()}
        self._era += 1
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await asyncio.sleep(0.004)
                status, body = (503, {}) if self.away else await self._answer(request)
                if self.away:
                    # Nothing was done.
                    reset(writer)
                    return
                headers = [("Store-Era", self._era), ("Content-Type", "application/json")]
                writer.write(format_answer(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/fulmarpoint/rows-get":
            return 200, self._read(query)
        if url.path == "/fulmarpoint/rows-feed":
            return await self._watch(query)
        if url.path == "/fulmarpoint/rows-tx":
            return self._commit(json.loads(request.body))
        return 404, {}

    def _envelope(self, **fields):
        return {**fields, "ver": self._version, "nowMs": int(time.monotonic() * 1000)}

    @staticmethod
    def _row(table, key, row):
        value, version, removed = row
        shown = {"table": table, "part": "", "key": key, "ver": version}
        if removed:
            shown["removed"] = True
        else:
            shown["value"] = base64.b64encode(value).decode()
        return shown

    def _read(self, query):
        table = query.get("table", "")
        start = query.get("from", "")
        rows = [self._row(table, key, row)
                for key, row in sorted(self._tables.get(table, {}).items())
                if key >= start and not row[2]]
        return self._envelope(rows=rows[:500], hasMore=len(rows) > 500)

    async def _watch(self, query):
        table = query.get("table", "")
        after = int(query.get("afterRev", "0"))
        end = time.monotonic() + min(30000, int(query.get("waitMs", "0"))) / 1000
        while True:
            if after > self._version:
                return 410, {}
            rows = [self._row(table, key, row) for key, row in self._tables.get(table, {}).items()
                    if row[1] > after]
            left = end - time.monotonic()
            if rows or left <= 0 or self.away:
                return 200, self._envelope(rows=sorted(rows, key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, call):
        current = []
        conflict = False
        for condition in call.get("ifRev", []):
            row = self._tables.get(condition["table"], {}).get(condition["key"], (b"", 0, True))
            version = 0 if row[2] else row[1]
            conflict = conflict or version != condition["ver"]
            if version:
                current.append(self._row(condition["table"], condition["key"], row))
        if conflict:
            return 412, self._envelope(rows=current)
        self._version += 1
        for put in call.get("puts", []):
            value = base64.b64decode(put["value"])
            self._tables.setdefault(put["table"], {})[put["key"]] = (value, self._version, False)
        for gone in call.get("remove", []):
            if gone["key"] in self._tables.get(gone["table"], {}):
                self._tables[gone["table"]][gone["key"]] = (b"", self._version, True)
        self._notify()
        return 200, self._envelope()


class Engine:
    """A server of a service. `behaviour(engine, request, writer)` may handle a request that it
    runs; if it returns False, the engine gives a sound answer."""

    def __init__(self, record, store, service, zone, name, behaviour=None, events=12):
        self._record = record
        self._store = store
        self._service = service
        self._zone = zone
        self._behaviour = behaviour
        self._events = events
        self._server = None
        self._port = 0
        self._writers = set()
        self._tasks = set()
        self._host = ""
        self.name = name
        self.id = ""
        self.born = 0
        self.alive = False
        # Identifiers of the requests that the engine began to run, in order.
        self.runs = []

    @property
    def address(self):
        return f"{self._host}:{self._port}"

    async def start(self, host, port=0):
        self._host = host
        self._server = await asyncio.start_server(self._serve, host, port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.alive = True
        self._store.put("servers", self.id, self.row())

    def row(self):
        return {"service": self._service, "address": self.address, "zone": self._zone,
                "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1,
                "born": self.born}

    async def crash(self, back_after_s):
        """Ends as a killed process does and starts again as a new one after some seconds."""
        self.alive = False
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        gone_id = self.id
        await asyncio.sleep(back_after_s)
        self._store.remove("servers", gone_id)
        await self.start(self._host, self._port)
        self._record.line(f"engine {self.name} is back as {self.id}")

    def crash_soon(self, back_after_s):
        task = asyncio.ensure_future(self.crash(back_after_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None or not await self._handle(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        """Returns whether the connection stays open."""
        request_id = request.header("Fulmarpoint-Request-Id")
        wanted = request.header("Fulmarpoint-Expect-Instance")
        if not request_id:
            writer.write(format_answer(400, [("Fulmarpoint-Not-Run", 1)]))
            return True
        if wanted and wanted != self.id:
            writer.write(format_answer(421, [("Fulmarpoint-Instance-Id", self.id)]))
            return True
        self.runs.append(request_id)
        self._record.line(f"engine {self.name} ({self.id}) runs request {request_id}: "
                          f"{request.method} {request.target}")
        if self._behaviour is not None:
            handled = await self._behaviour(self, request, writer)
            if handled:
                return False
        headers = self.headers(request_id)
        if request.header("Fulmarpoint-Model"):
            await self._stream(request, headers, writer)
        else:
            # The sheet: 30 ms on average, with a spread of a half.
            await asyncio.sleep(min(0.22, random.lognormvariate(-3.6, 0.47)))
            writer.write(format_answer(200, headers, f"body of {request_id}".encode()))
        await writer.drain()
        return True

    def headers(self, request_id):
        return [("Fulmarpoint-Request-Id", request_id),
                ("Fulmarpoint-Server-Seal", f"seal.{self.id}.{request_id}"),
                ("Fulmarpoint-Server-Load", "1,0,64")]

    async def _stream(self, request, headers, writer):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(lines).encode() + HEAD_END)
        first = int(request.header("Last-Event-Id") or 0) + 1
        for number in range(first, self._events + 1):
            event = f"id: {number}\ndata: e{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")

    def stop(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Daemon:
    """One process of the project's daemon, with the settings of a small deployment."""

    def __init__(self, world, name, zone, host):
        self._world = world
        self._zone = zone
        self.name = name
        self.host = host
        self.ports = free_ports(host, 6)
        self.process = None
        self.started_at = 0.0
        self._settings = world.folder / f"{name}.conf"

    @property
    def front(self):
        return self.host, self.ports[0]

    def _settings_text(self):
        front, ready, control, directory, first_peer, _ = self.ports
        lines = [
            f"nodeName={self.name}", "role=daemon", "machineClass=front", "serves=front,directory",
            f"bindIp={self.host}", f"zone={self._zone}", "region=hu-central",
            "zones.buda-a=hu-central", "zones.pest-b=hu-central", "zones.kecs-c=hu-central",
            "zones.szol-d=hu-central",
            f"listen.front={self.host}:{front}", f"listen.ready={self.host}:{ready}",
            f"listen.control={self.host}:{control}", f"listen.directory={self.host}:{directory}",
            f"portRange={first_peer},{first_peer + 15}", f"seedAddrs={self.host}:{control}",
            "bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.25", "limits.cores=1",
            "limits.memoryMb=260", "limits.maxFds=4100", "limits.linkMbps=1000.0",
            "limits.diskMb=0", "discovery=platform", "entry=directory", "beatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,"
            "pressure,platform",
            "tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000",
            "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
            "bounds.lostSlackMs=200", "bounds.configApplyMs=2000", "bounds.downgradeMs=250",
            "bounds.skewMaxMs=5000", "bounds.revokeStrict=true", "bounds.revokeMs=5000",
            "bounds.retryRatio=0.8", "bounds.retryWindowS=10", "bounds.retrySlack=150",
            "bounds.exposureShare=0.1", "bounds.exposureSlack=50", "bounds.rollbackMs=5000",
            "bounds.recoveryS=12", "bounds.passMs=120", "bounds.reuseWindowS=10",
            "bounds.ttl_max_s=5", f"platform.address={self._world.store.address}",
            "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000",
            "platform.txMs=5.0", "platform.partWritesS=200", "platform.rowBytes=65536",
            "platform.across=false", "platform.historyS=20", "platform.blobBytes=8388608",
            "platform.blobMs=25.0", "platform.blobBwS=80.0",
        ]
        return "\n".join(lines) + "\n"

    async def start(self):
        self._settings.write_text(self._settings_text(), encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "FULMARPOINT_BOOT": str(self._settings)}
        log = open(self._world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *DAEMON, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.started_at = self._world.record.now()
        self._world.record.line(f"daemon {self.name} started")

    async def wait_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                answer = await ask((self.host, self.ports[1]),
                                   "GET /fulmarpoint/readiness HTTP/1.1\r\nHost: ready\r\n"
                                   "Connection: close\r\n\r\n", 1.0)
                if answer is not None and answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"daemon {self.name} did not become ready")

    async def terminate(self, grace_s=8.0):
        """SIGTERM, and SIGKILL after the grace time, as the platform does."""
        self.process.send_signal(signal.SIGTERM)
        self._world.record.line(f"SIGTERM to daemon {self.name}")
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self._world.record.line(f"daemon {self.name} ended")

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(host, count):
    """Returns ports that are free for TCP and UDP at the address."""
    held = []
    ports = []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((host, 0))
        held.append(tcp)
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((host, port))
            ports.append(port)
        except OSError:
            pass
        finally:
            udp.close()
    for item in held:
        item.close()
    return ports


async def ask(address, text, limit_s):
    """Sends a request on a new connection. Returns the answer; None if the connection ended
    without one."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    try:
        writer.write(text if isinstance(text, bytes) else text.encode())
        return await asyncio.wait_for(read_message(reader), limit_s)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.close()


class World:
    """Owns all stand-ins and daemons of a case and ends them."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fulmarpoint-review-"))
        self.store = Store(record)
        self.engines = []
        self.daemons = []
        # A block of loopback addresses of its own, so that ports of several daemons are free.
        self._block = f"127.{random.randint(64, 254)}.{random.randint(1, 254)}"

    def host(self, number):
        return f"{self._block}.{number}"

    async def start(self, configuration, engines, daemons):
        if not (ROOT / DAEMON[0]).exists():
            raise CannotRun("build the daemon of deploy/system.toml first")
        await self.store.start(self.host(1))
        self.store.put("op", "config", configuration)
        for number, arguments in enumerate(engines):
            engine = Engine(self.record, self.store, **arguments)
            self.engines.append(engine)
            await engine.start(self.host(20 + number))
        for number, zone in enumerate(daemons):
            daemon = Daemon(self, f"front-{zone}-{number + 1}", zone, self.host(100 + number))
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        # Heartbeats between the daemons.
        await asyncio.sleep(1.5)

    async def close(self):
        for daemon in self.daemons:
            await daemon.kill()
        for engine in self.engines:
            engine.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(test, record_path):
    """Runs `test(world, trouble)`, which returns a list of violations, and exits as a case does."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(record)
        try:
            return await test(world, trouble)
        finally:
            await world.close()

    try:
        violations = asyncio.run(run())
    except Exception as error:  # pylint: disable=broad-except
        # A fault of the test itself must not look like a broken rule.
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    for violation in violations:
        record.line(f"BROKEN {violation}")
        print(violation)
    record.line("rule broken" if violations else "rule held")
    print("rule broken" if violations else "rule held")
    raise SystemExit(1 if violations else 0)

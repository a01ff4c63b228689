"""Streams that may not be resumed, while engines lose some answers."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True
from world import CannotRun, Message, play, read_head, reset  # noqa: E402

ZONES = ["buda-a", "pest-b", "kecs-c", "szol-d"]
KEY = "xd9dnn2ctnfzs989anu6"
STREAMS = 60
PAUSE_S = 0.12
# Dose of the disruption: this share of the engines loses this share of the answers for this long.
AFFECTED_SHARE = 0.5
LOST_SHARE = 0.3
TROUBLE_S = 4.0
TROUBLE_AT_S = 2.0


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "r-draft", "host": "roast.example", "prefix": "/draft/",
                    "kind": "stream", "timeoutMs": 25000, "goalMs": 4500, "priority": 1,
                    "service": "drafting", "attempts": 5, "public": False, "sticky": True,
                    "canResume": False, "gapGoalMs": 700}],
        "services": [{"name": "drafting", "healthPath": "/health", "maxConns": 370,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacity": 55000, "kvTokenBytes": 163840,
                                 "linkMbps": 1100000.0, "moves": True, "backups": True,
                                 "stride": 6, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                                 "handleS": 4.0, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "priority": 1}],
    }


class LosingAnswers:
    """While active, an engine runs a request to its end and its answer is lost: the connection is
    reset before the first byte of the answer."""

    def __init__(self, record):
        self._record = record
        self._random = random.Random(31)
        self.active = False

    async def __call__(self, engine, request, writer):
        if not self.active or self._random.random() >= LOST_SHARE:
            return False
        # Time to make all events.
        await asyncio.sleep(0.36)
        request_id = request.header("Fulmarpoint-Request-Id")
        self._record.line(f"engine {engine.name} has run request {request_id} to its end; "
                          "its answer is lost")
        reset(writer)
        return True


async def stream(world, number):
    """Sends one request and returns its identifier and how it ended. It is not sent again."""
    request_id = f"{random.getrandbits(64):016x}"
    daemon = world.daemons[number % len(world.daemons)]
    body = f"roasting log {number}"
    prompt = f"5c1e07a2:200,{random.getrandbits(32):08x}:5000"
    head = (f"POST /draft/2f HTTP/1.1\r\nHost: roast.example\r\n"
            f"Fulmarpoint-Request-Id: {request_id}\r\nFulmarpoint-Model: m\r\n"
            f"Fulmarpoint-Token-Count: 5200,72\r\nFulmarpoint-Prompt-Prefix: {prompt}\r\n"
            f"Fulmarpoint-Deadline-Ms: 25000\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}")
    world.record.line(f"requester sends request {request_id} to {daemon.name}")
    outcome = "no answer"
    status = 0
    reader, writer = await asyncio.open_connection(*daemon.front)
    try:
        writer.write(head.encode())
        answer: Message = await asyncio.wait_for(read_head(reader), 26)
        if answer is not None:
            status = answer.status
            outcome = f"status {status}"
            if status == 200:
                events = await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 26)
                outcome += f", complete, {events.count(b'id: ')} events"
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError):
        outcome += ", broken off"
    finally:
        writer.close()
    world.record.line(f"requester: request {request_id} ended with {outcome}")
    return request_id, status


async def test(world, trouble):
    losing = LosingAnswers(world.record)
    engines = [{"service": "drafting", "zone": ZONES[number % 4], "name": f"drafting-{number + 1}",
                "behaviour": losing if number < AFFECTED_SHARE * 6 else None}
               for number in range(6)]
    await world.start(configuration(), engines, ZONES)

    async def disrupt():
        await asyncio.sleep(TROUBLE_AT_S)
        losing.active = trouble
        await asyncio.sleep(TROUBLE_S)
        losing.active = False

    disruption = asyncio.ensure_future(disrupt())
    streams = []
    for number in range(STREAMS):
        streams.append(asyncio.ensure_future(stream(world, number)))
        await asyncio.sleep(PAUSE_S)
    ends = dict(await asyncio.gather(*streams))
    await disruption
    runs = collections.Counter()
    for engine in world.engines:
        runs.update(engine.runs)
    if sum(runs.values()) < STREAMS / 2:
        raise CannotRun("too few requests were run")
    violations = [f"TWICE: request {request_id} was run {count} times"
                  for request_id, count in runs.items() if count > 1]
    violations += [f"REFUSED: request {request_id} was answered {status} and has run"
                   for request_id, status in ends.items()
                   if status in (408, 421, 429, 503) and runs[request_id] > 0]
    return violations


play(test, pathlib.Path(__file__).resolve().parent / "record.txt")

"""A request hidden in the body of another one, whose framing the daemon does not know."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True
from world import CannotRun, play  # noqa: E402

ZONES = ["buda-a", "pest-b", "kecs-c", "szol-d"]
KEY = "xd9dnn2ctnfzs989anu6"
# Transfer codings of the outer request. None of them says where the body ends.
CODINGS = ["gzip", "identity", "chunked, identity"]
ANSWER_LIMIT_S = 2.0


def configuration():
    return {
        "version": 3,
        "routes": [{"name": "r-order", "host": "roast.example", "prefix": "/order/",
                    "kind": "non_idempotent", "timeoutMs": 1000, "goalMs": 150, "priority": 2,
                    "service": "order-desk", "attempts": 1, "public": False}],
        "services": [{"name": "order-desk", "healthPath": "/health", "maxConns": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "priority": 1}],
    }


def head(request_id, path, framing):
    return (f"POST {path} HTTP/1.1\r\nHost: roast.example\r\n"
            f"Fulmarpoint-Request-Id: {request_id}\r\nFulmarpoint-Deadline-Ms: 1000\r\n"
            f"Authorization: Bearer {KEY}\r\n{framing}\r\n\r\n").encode()


def new_id():
    return f"{random.getrandbits(64):016x}"


async def exchange(world, daemon, request_id, data):
    """Sends one request and returns all that comes back until the connection is silent or ends."""
    world.record.line(f"requester sends request {request_id} to {daemon.name}, one request of "
                      f"{len(data)} bytes: {data!r}")
    received = b""
    reader, writer = await asyncio.open_connection(*daemon.front)
    writer.write(data)
    try:
        while True:
            some = await asyncio.wait_for(reader.read(65536), ANSWER_LIMIT_S)
            if not some:
                break
            received += some
    except (asyncio.TimeoutError, ConnectionError):
        pass
    writer.close()
    world.record.line(f"requester receives {received!r}")
    return received


async def test(world, trouble):
    engines = [{"service": "order-desk", "zone": zone, "name": f"order-desk-{number + 1}"}
               for number, zone in enumerate(ZONES)]
    await world.start(configuration(), engines, ZONES)
    sent = set()
    hidden = {}
    unasked_answers = 0
    for number, coding in enumerate(CODINGS):
        daemon = world.daemons[number]
        outer, inner = new_id(), new_id()
        sent.add(outer)
        hidden[inner] = coding
        body = head(inner, "/order/hidden", "Content-Length: 0")
        if trouble:
            data = head(outer, "/order/outer", f"Transfer-Encoding: {coding}") + body
        else:
            # The same body, in chunks.
            chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
            data = head(outer, "/order/outer", "Transfer-Encoding: chunked") + chunk
        received = await exchange(world, daemon, outer, data)
        unasked_answers += max(0, received.count(b"HTTP/1.1 ") - 1)
    # Sound requests are served all the while.
    sound = new_id()
    sent.add(sound)
    answer = await exchange(world, world.daemons[3], sound,
                            head(sound, "/order/sound", "Content-Length: 0"))
    runs = [run for engine in world.engines for run in engine.runs]
    if not answer.startswith(b"HTTP/1.1 200") or sound not in runs:
        raise CannotRun("a sound request was not served")
    violations = [f"UNASKED: an engine ran request {run}, which no requester sent; it was hidden "
                  f"in the body of a request with the transfer coding '{hidden.get(run)}'"
                  for run in runs if run not in sent]
    if unasked_answers:
        violations.append(f"MIXED: {unasked_answers} answers came to requesters that had no "
                          "request waiting")
    return violations


play(test, pathlib.Path(__file__).resolve().parent / "record.txt")

"""Orders that come as a daemon that is being stopped closes its listener."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True
from world import CannotRun, play  # noqa: E402

CALLERS = pathlib.Path(__file__).resolve().parent.parent / "standins" / "callers.py"
ZONES = ["buda-a", "pest-b", "kecs-c", "szol-d"]
KEY = "xd9dnn2ctnfzs989anu6"
# Each daemon is stopped and started twice, one at a time.
ROUNDS = 8
# Three processes with eight requesters each, as many as are in some zones of the site.
PROCESSES = 3
REQUESTERS = 8
# Requesters keep a lookup's answer (`ttlS` 1) up to three times as long.
SEND_AFTER_S = 3.0
BEFORE_S = 0.0008
# Time for the processes of the requesters to start.
LEAD_S = 0.4
ROLL_GAP_S = 1.0


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


async def send_orders(world, daemon, at, name):
    """Lets `REQUESTERS` requesters send an order each at the moment `at`. Returns (id, outcome)."""
    host, port = daemon.front
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(CALLERS), host, str(port), str(REQUESTERS), str(at), name, KEY,
        stdout=asyncio.subprocess.PIPE)
    world.processes.append(process)
    output, _ = await process.communicate()
    return [tuple(line.split(" ", 1)) for line in output.decode().splitlines()]


async def stop_and_start(daemon):
    await daemon.terminate()
    await daemon.start()
    await daemon.wait_ready()


async def test(world, trouble):
    world.processes = []
    engines = [{"service": "order-desk", "zone": zone, "name": f"order-desk-{number + 1}"}
               for number, zone in enumerate(ZONES)]
    await world.start(configuration(), engines, ZONES)
    # In touch, and then a pause as between the stops.
    await asyncio.sleep(3.0)
    ends = collections.Counter()
    violations = []
    for number in range(ROUNDS):
        daemon = world.daemons[number % len(world.daemons)]
        stop_at = time.monotonic() + LEAD_S
        send_at = stop_at + SEND_AFTER_S - BEFORE_S
        orders = [asyncio.ensure_future(send_orders(world, daemon, send_at, f"o{number}-{process}"))
                  for process in range(PROCESSES)]
        await asyncio.sleep(stop_at - time.monotonic())
        stop = asyncio.ensure_future(stop_and_start(daemon)) if trouble else None
        answers = [answer for part in await asyncio.gather(*orders) for answer in part]
        if stop is not None:
            await stop
        runs = {run for engine in world.engines for run in engine.runs}
        for request_id, outcome in answers:
            ends.update([outcome])
            ran = "was run" if request_id in runs else "was not run"
            world.record.line(f"request {request_id}, sent to {daemon.name} at "
                              f"{SEND_AFTER_S - BEFORE_S:.4f} s after the SIGTERM, ended with "
                              f"{outcome} and {ran}")
            if request_id in runs and outcome in ("closed", "partial", "silent"):
                violations.append(f"LOST: request {request_id} was read whole, passed on and run, "
                                  f"and its connection ended without an answer ({outcome})")
        await asyncio.sleep(ROLL_GAP_S)
    world.record.line(f"requests ended with: {dict(ends)}")
    if ends["status 200"] < ROUNDS * PROCESSES * REQUESTERS / 4:
        raise CannotRun("too few requests were answered")
    return violations


play(test, pathlib.Path(__file__).resolve().parent / "record.txt")

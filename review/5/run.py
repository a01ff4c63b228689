"""A request that crashes engines comes again while the daemons are restarted one after the other."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True
from world import CannotRun, ask, play  # noqa: E402

DAEMON_ZONES = ["buda-a", "buda-a", "buda-a", "pest-b", "pest-b", "kecs-c", "szol-d", "szol-d"]
ENGINE_ZONES = ["buda-a", "pest-b", "kecs-c", "szol-d"]
KEY = "xd9dnn2ctnfzs989anu6"
CONTACT_S = 3.0
# An engine that crashed is back after this time.
BACK_AFTER_S = 2.0
# Pause between the restart of one daemon and the SIGTERM of the next (`gap_s` of `roll_term`).
ROLL_GAP_S = 1.0
POISON_PATH = "/order/blight"
MOST_RETRIES = 3
ORDERS_PER_S = 16.3


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


class Poison:
    """Requests for `POISON_PATH` crash the engine that begins to run them."""

    def __init__(self, world):
        self._world = world
        # Times at which such a request reached an engine.
        self.reached = []

    async def on_request(self, engine, request, writer):
        if request.target != POISON_PATH:
            return False
        now = self._world.record.now()
        self.reached.append(now)
        self._world.record.line(f"engine {engine.name} crashes on it ({len(self.reached)} so far)")
        engine.crash_soon(BACK_AFTER_S)
        return True

    async def send(self, daemon):
        """The caller sends the request again: same path, caller and body, an id of its own."""
        await send(self._world, daemon, POISON_PATH, "two sacks")


async def send(world, daemon, path, body):
    request_id = f"{random.getrandbits(64):016x}"
    text = (f"POST {path} HTTP/1.1\r\nHost: roast.example\r\n"
            f"Fulmarpoint-Request-Id: {request_id}\r\nFulmarpoint-Deadline-Ms: 1000\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n{body}")
    world.record.line(f"requester sends request {request_id} ({path}) to {daemon.name}")
    try:
        answer = await ask(daemon.front, text, 1.5)
        ended = "a closed connection" if answer is None else f"status {answer.status}"
    except (OSError, asyncio.TimeoutError):
        ended = "no answer"
    world.record.line(f"requester: request {request_id} ended with {ended}")
    return ended


async def sound_orders(world, ends):
    """Orders that are sound, at the sheet's rate, at daemons that take requests."""

    async def order(number):
        running = [daemon for daemon in world.daemons if daemon.takes_requests]
        ended = await send(world, random.choice(running), f"/order/{number}", f"order {number}")
        ends.update([ended])

    orders = []
    try:
        while True:
            orders.append(asyncio.ensure_future(order(len(orders))))
            await asyncio.sleep(1 / ORDERS_PER_S)
    finally:
        await asyncio.gather(*orders)


async def restart(daemon):
    daemon.takes_requests = False
    await daemon.terminate()
    await asyncio.sleep(0.3)
    await daemon.start()
    await daemon.wait_ready()
    daemon.takes_requests = True


async def send_once_in_touch(poison, daemon):
    """A machine is in touch once it has run for `contactMs`."""
    await asyncio.sleep(CONTACT_S + 0.3)
    await poison.send(daemon)


async def test(world, trouble):
    poison = Poison(world)
    engines = [{"service": "order-desk", "zone": zone, "name": f"order-desk-{number + 1}",
                "behaviour": poison.on_request} for number, zone in enumerate(ENGINE_ZONES)]
    await world.start(configuration(), engines, DAEMON_ZONES)
    for daemon in world.daemons:
        daemon.takes_requests = True
    ends = collections.Counter()
    orders = asyncio.ensure_future(sound_orders(world, ends))

    # The request comes at one machine after the other until it has crashed three engines.
    await asyncio.sleep(CONTACT_S)
    for daemon in world.daemons:
        if len(poison.reached) == 3:
            break
        await poison.send(daemon)
        await asyncio.sleep(0.7)
    if len(poison.reached) < 3:
        raise CannotRun("the request did not crash three engines")
    third = poison.reached[2]
    await asyncio.sleep(CONTACT_S + 0.3)

    # From here on each send is later than `contactMs` after the third crash.
    for daemon in world.daemons:
        await poison.send(daemon)
    late = []
    for daemon in world.daemons:
        if trouble:
            await restart(daemon)
        else:
            await asyncio.sleep(3.6)
        late.append(asyncio.ensure_future(send_once_in_touch(poison, daemon)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*late)
    await asyncio.sleep(1.0)
    orders.cancel()
    await asyncio.wait([orders])
    world.record.line(f"sound orders ended with: {dict(ends)}")

    retries = [at for at in poison.reached if at > third + CONTACT_S]
    if len(retries) <= MOST_RETRIES:
        return []
    return [f"BUDGET: a request that crashes engines reached engines in {len(retries)} retries, "
            f"sent by machines in touch later than contactMs after the third crash"]


play(test, pathlib.Path(__file__).resolve().parent / "record.txt")

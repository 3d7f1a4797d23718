"""The host that grants keys is cut off from the store and the other host, and still reaches the workers. The other
host takes over and moves keys of a worker, which then starts again under its id and knows nothing of before. The
former granter renews the hold that it knows, and two workers hold the same keys."""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin

WORKERS = 7
CLIENTS = 12
# How long the host is cut off, in seconds.
CUT_S = 5.5
# How long the worker is down, in seconds.
DOWN_S = 0.3
# How often this is played, as long as the rule has held: where the former granter renews a hold after the release and
# before the crash, it is refused, and renews no more.
ROUNDS = 2
# How long two workers may hold the same keys, in seconds.
MOST_HELD_S = 0.5
# For how long after the end of a cut grants don't count, in seconds.
THAW_S = 0.3


def granter_of(routers):
    """Returns the number of the host that took the granter role in the highest term."""
    taken = [
        (int(line.split("term=")[1].split()[0]), number)
        for number, router in enumerate(routers)
        for line in router.lines("granting-taken-up")
    ]
    if not taken:
        raise standin.CannotRun("no host grants")
    return max(taken)[1]


class HoldWatch:
    """Notes when two workers that are up hold the same keys."""

    def __init__(self, workers, record):
        self.workers, self.record = workers, record
        # The two workers with their lives, and the keys: when that began, and when it was seen last.
        self.spans = {}
        self.healed_at = []

    async def watch(self, stop):
        while not stop.is_set():
            now = time.monotonic()
            up = [worker for worker in self.workers if worker.is_up]
            for index, one in enumerate(up):
                for other in up[index + 1 :]:
                    self.compare(one, other, now)
            await asyncio.sleep(0.01)

    def compare(self, one, other, now):
        for a in one.held(now):
            for b in other.held(now):
                first, last = max(a[0], b[0]), min(a[1], b[1])
                if first <= last:
                    span = (one, one.life, other, other.life, first, last)
                    since = self.spans.get(span, (now, now))[0]
                    self.spans[span] = (since, now)

    def broken(self):
        """Returns how many times the rule was broken: held for too long, or requests begun by both."""
        count = 0
        for (one, one_life, other, other_life, first, last), (since, until) in self.spans.items():
            if any(healed <= since <= healed + THAW_S for healed in self.healed_at):
                continue
            begun = [
                sum(
                    1
                    for at, life, _, key in worker.runs
                    if life == own_life and since <= at <= until and first <= key <= last
                )
                for worker, own_life in ((one, one_life), (other, other_life))
            ]
            text = (
                f"{one.name} (life {one_life}) and {other.name} (life {other_life}) held keys {first} to {last} "
                f"for {until - since:.3f} s and began {begun[0]} and {begun[1]} requests on them"
            )
            print(text)
            self.record.note("held-twice", text=f'"{text}"')
            if until - since > MOST_HELD_S or all(begun):
                count += 1
        return count


async def start_site(folder, record, routers):
    ports = standin.free_ports(24)
    store = standin.Store(record)
    gateways = [standin.Gateway(ports.pop(), ports.pop()) for _ in range(2)]
    services = [{"name": "stock", "health_path": "/health", "max_conns": 120, "use_shards": True}]
    configuration = standin.configuration(3, [standin.route("stock", "safe", "stock")], services)
    await store.put("keyed.op", "config", json.dumps(configuration).encode())
    store_ports = [ports.pop(), ports.pop()]
    for number, gateway in enumerate(gateways):
        await store.listen(store_ports[number], gateway)
        await standin.serve_peers(gateway, gateways[1 - number])
    workers = [
        standin.Worker(store, record, f"w-{number}", "stock", ports.pop())
        for number in range(1, WORKERS + ROUNDS + 1)
    ]
    for worker in workers[:WORKERS]:
        await worker.start()
    for number, gateway in enumerate(gateways):
        own = (ports.pop(), ports.pop(), gateway.inner_port, ports.pop())
        router = standin.Router(folder, f"edge-{number + 1}", own, store_ports[number])
        routers.append(router)
        router.start()

    async def all_ready():
        return all([await router.is_ready() for router in routers])

    await standin.wait_for(all_ready, 20, "the routers did not become ready")
    return gateways, workers


async def play_round(gateways, workers, added, routers, watch):
    """Adds a worker and, with the disruption, cuts the granter off meanwhile and crashes a former holder."""
    record = watch.record
    granter = granter_of(routers)
    record.note("granter", host=routers[granter].name)
    if not standin.is_troubled():
        await added.start()
        await asyncio.sleep(CUT_S + 3)
        return
    cut_at = time.monotonic()
    record.note("cut", host=routers[granter].name)
    gateways[granter].cut()
    # An empty worker is added; it gets keys of others.
    await added.start()
    await standin.wait_for(added.held, CUT_S - 1, "no keys moved while the host was cut off")
    fence = added.held()[0][2]
    others = [worker for worker in workers if worker is not added and worker.is_up]
    formers = [worker for worker in others if any(seen[2] == fence for seen in worker.seen)]
    if not formers:
        raise standin.CannotRun("the moved keys had no former holder")
    formers[0].crash()
    await asyncio.sleep(DOWN_S)
    await formers[0].start()
    await asyncio.sleep(max(0, cut_at + CUT_S - time.monotonic()))
    watch.healed_at.append(time.monotonic())
    gateways[granter].heal()
    record.note("healed", host=routers[granter].name)
    await asyncio.sleep(3)


async def play(folder, record, routers):
    gateways, workers = await start_site(folder, record, routers)
    await asyncio.sleep(2)
    stop = asyncio.Event()

    async def client(number):
        chance = random.Random(number)
        router = routers[number % len(routers)]
        sent = 0
        while not stop.is_set():
            key = chance.randrange(65_536)
            request_id = f"c{number}-{sent}"
            sent += 1
            record.note("sent", host=router.name, id=request_id, key=key)
            answer = await standin.call(router.front, "/stock/a", request_id, key)
            record.note("answered", id=request_id, status=answer and answer[0])
            await asyncio.sleep(0.02)

    watch = HoldWatch(workers, record)
    tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    tasks.append(asyncio.create_task(watch.watch(stop)))
    await asyncio.sleep(2)

    is_broken = False
    for added in workers[WORKERS:]:
        await play_round(gateways, workers, added, routers, watch)
        is_broken = watch.broken() > 0
        if is_broken:
            break
    stop.set()
    await asyncio.gather(*tasks)
    return 1 if is_broken else 0


standin.run(play)

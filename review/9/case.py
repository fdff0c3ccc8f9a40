"""All gateways are killed and come back; meanwhile another writer has added entries of a service that isn't named."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))
from standins import Gateway, Record, Replica, Store, Watch, configuration, read_head, request_bytes, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECOVER_S = 12.0  # bounds.recoverS
DOWN_S = 0.7
REQUESTS_PER_S = 20


async def traffic(gateways, record, seconds, phase, results):
    """Sends requests to the gateways in turn, each on a connection of its own."""

    async def one(number):
        gateway, ident, status = gateways[number % len(gateways)], f"{phase}-{number}", "no answer"
        record(f"sent {ident} to {gateway.name}")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.front), 1)
            writer.write(request_bytes("POST", "/shop/order", ident, 4000, b"order"))
            head = await asyncio.wait_for(read_head(reader), 4)
            status = head[0] if head else "connection ended"
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        record(f"answer {ident}: {status}")
        results.append(" 200 " in status + " ")

    tasks, end, number = [], record.now() + seconds, 0
    while record.now() < end:
        tasks.append(asyncio.create_task(one(number)))
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def main():
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as directory:
        store = Store()
        await store.start()
        replicas = [Replica(record, f"i-{n}", "seva-app", work_s=0.06) for n in range(3)]
        for replica in replicas:
            await replica.start()
            store.put_json("servers", replica.id, replica.row())
        store.put_json("op", "config", configuration(
            3, [route("orders", "/shop/", "unsafe", "seva-app")],
            [{"name": "seva-app", "maxConns": 248, "healthPath": "/health"}]))
        gateways = [Gateway(directory, f"front-{n}", store) for n in (1, 2)]
        try:
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                if not await gateway.wait_ready():
                    return 2
            await asyncio.sleep(3.5)
            watch = Watch(record)
            before, after = [], []
            await traffic(gateways, record, 4, "before", before)

            record("all gateways are killed")
            for gateway in gateways:
                gateway.kill()
            if TROUBLE:
                for replica in replicas:
                    # As a replica writes it, but of a service that the configuration doesn't name.
                    row = dict(replica.row(), service="seva-archive", born=int(time.time() * 1000))
                    store.put_json("servers", f"archive-{replica.id}", row)
                    record(f"another writer adds archive-{replica.id}: {row}")
            await asyncio.sleep(DOWN_S)
            for gateway in gateways:
                gateway.start()
            back = record.now()
            record("all gateways are started")
            await traffic(gateways, record, RECOVER_S, "recovering", [])
            record(f"recoverS is over, {record.now() - back:.1f} s after the start")
            await traffic(gateways, record, 6, "after", after)
            if any(gateway.process.poll() is not None for gateway in gateways):
                return 1
        finally:
            for gateway in gateways:
                gateway.kill()
        record(f"served: {sum(before)} of {len(before)} before the fault, {sum(after)} of {len(after)} later than recoverS")
        if 4 * sum(before) < len(before):
            return 2
        if watch.held_up():
            return 2
        return 1 if 4 * sum(after) < len(after) else 0


sys.exit(asyncio.run(main()))

"""A worker crashes, starts again as another kind and does not reach the store: its entry still tells of the boot before."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from deployment import ZONES, Deployment, route, run_case, tenant  # noqa: E402

CUT_S = 5.0
DOWN_S = 0.5
TRAFFIC_S = 16.0
KIND = "a"
LARGE = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}
SMALL = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}


class Case(Deployment):
    async def prepare(self):
        for number, zone in enumerate(ZONES):
            await self.add_worker(f"i-{number:08x}", zone, KIND, dict(LARGE))
        self.configure([route("soundbox-tune")], [tenant("shop", 500)])


async def scenario(deployment, has_trouble):
    record = deployment.record
    await deployment.wait_ready()
    jobs = []

    async def one_job():
        # 10 tasks of about 3.9 cores and 3.4 s, as on the sheet of the site.
        jobs.append(await deployment.submit("/soundbox-tune/", "key-shop", [({"count": 10, "cpu": 3900, "mem_mb": 8000, "estimate_ms": 3400, "requirements": KIND}, {"run_ms": 3400})]))

    async def traffic():
        calls = []
        end = record.now() + TRAFFIC_S
        while record.now() < end:
            calls.append(asyncio.ensure_future(one_job()))
            await asyncio.sleep(1 / 1.8)
        await asyncio.gather(*calls)

    sending = asyncio.ensure_future(traffic())
    await asyncio.sleep(6.0)
    if has_trouble:
        worker = deployment.workers[0]
        record.line(f"{worker.id} is cut from the store and crashes")
        deployment.cut_from_store[worker.id] = asyncio.get_running_loop().time()
        worker.crash()
        for writer in list(worker.server.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        worker.kind, worker.capacity = "b", dict(SMALL)
        worker.boot()
        record.line(f"{worker.id} is up again as kind b with capacity {json.dumps(worker.capacity)}, born {worker.born}")
        await asyncio.sleep(CUT_S - DOWN_S)
        deployment.cut_from_store.clear()
        deployment.store.put("servers/" + worker.id, worker.entry())
        record.line(f"{worker.id} reaches the store again")
    await sending
    await asyncio.sleep(6.0)


sys.exit(run_case(__file__, scenario, Case))

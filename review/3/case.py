"""A worker carries an order out late, and answers the next ones with 503."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from deployment import ZONES, Deployment, route, run_case, tenant  # noqa: E402

WORKERS = 7
SICK_S = 5.5
TRAFFIC_S = 14.0
JOBS_PER_S = 3
RUN_MS = 5000


class Case(Deployment):
    async def prepare(self):
        for number in range(WORKERS):
            await self.add_worker(f"i-{number:08x}", ZONES[number % 3], "a", {"cpu": 64000, "mem_mb": 262144, "gpu": 0})
        self.configure([route("soundbox-tune")], [tenant("shop", 100)])


async def scenario(deployment, has_trouble):
    record = deployment.record
    await deployment.wait_ready()
    began = record.now()
    sick = deployment.workers[0]
    calls = []

    async def trouble():
        await asyncio.sleep(4.0)
        record.line(f"{sick.id} is sick")
        sick.is_sick = True
        await asyncio.sleep(SICK_S)
        sick.is_sick = False
        record.line(f"{sick.id} is sound; of its {sick.requests} requests {sick.late} were late and {sick.busy} answered with 503")

    if has_trouble:
        calls.append(asyncio.ensure_future(trouble()))
    while record.now() < began + TRAFFIC_S:
        calls.append(asyncio.ensure_future(deployment.submit("/soundbox-tune/", "key-shop", [({"count": 4, "cpu": 3900, "mem_mb": 8000, "estimate_ms": RUN_MS}, {"run_ms": RUN_MS})])))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*calls)
    await asyncio.sleep(14.0)
    record.check_twice()


sys.exit(run_case(__file__, scenario, Case))

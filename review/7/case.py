"""Workers carry orders out late, and one of them answers part of its requests with 503."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from deployment import ZONES, Deployment, route, run_case, tenant  # noqa: E402

WORKERS = 7
LATE_SHARE = 0.5
LATE_S = 5.5
BUSY_SHARE = 0.4
BUSY_S = 6.5
TRAFFIC_S = 14.0
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
    grey = deployment.workers[0]
    calls = []

    async def trouble():
        await asyncio.sleep(4.0)
        record.line(f"orders are late at all workers, and {grey.id} is busy")
        for worker in deployment.workers:
            worker.late_share = LATE_SHARE
        grey.busy_share = BUSY_SHARE
        await asyncio.sleep(LATE_S)
        for worker in deployment.workers:
            worker.late_share = 0.0
        await asyncio.sleep(BUSY_S - LATE_S)
        grey.busy_share = 0.0
        record.line("workers are sound again")

    if has_trouble:
        calls.append(asyncio.ensure_future(trouble()))
    while record.now() < began + TRAFFIC_S:
        calls.append(asyncio.ensure_future(deployment.submit("/soundbox-tune/", "key-shop", [({"count": 4, "cpu": 3900, "mem_mb": 8000, "estimate_ms": RUN_MS}, {"run_ms": RUN_MS})])))
        await asyncio.sleep(1 / 3)
    await asyncio.gather(*calls)
    await asyncio.sleep(14.0)
    record.check_twice()


sys.exit(run_case(__file__, scenario, Case))

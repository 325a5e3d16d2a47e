"""More users come at once, with tasks that use only what the others leave of the processors."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from deployment import ZONES, Deployment, route, run_case, tenant  # noqa: E402

USUAL_PERIOD_S = 2.0
BURST = 2.3
BURST_S = 4.0
BURST_AT_S = 6.0
TRAFFIC_S = 14.0
# Two jobs at a time, 8 tasks, fill the memory of one of the three workers.
STEP = {"count": 4, "cpu": 1000, "mem_mb": 32000, "estimate_ms": 3000, "utilization": True}


class Case(Deployment):
    async def prepare(self):
        for number, zone in enumerate(ZONES):
            await self.add_worker(f"i-{number:08x}", zone, "a", {"cpu": 64000, "mem_mb": 262144, "gpu": 0})
        self.configure([route("soundbox-tune")], [tenant("shop", 50)])


async def scenario(deployment, has_trouble):
    record = deployment.record
    await deployment.wait_ready()
    began = record.now()
    calls = []
    while record.now() < began + TRAFFIC_S:
        calls.append(asyncio.ensure_future(deployment.submit("/soundbox-tune/", "key-shop", [(STEP, {"run_ms": 3000})])))
        is_burst = has_trouble and BURST_AT_S <= record.now() - began < BURST_AT_S + BURST_S
        await asyncio.sleep(USUAL_PERIOD_S / BURST if is_burst else USUAL_PERIOD_S)
    await asyncio.gather(*calls)
    await asyncio.sleep(5.0)


sys.exit(run_case(__file__, scenario, Case))

"""A route is removed and added again while a task of one of its jobs ends as failed for the first time."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from deployment import ZONES, Deployment, route, run_case, tenant  # noqa: E402

MAX_ATTEMPTS = 4
JOBS = 10
RUN_MS = 3400
ABSENT_S = 4.0
TENANTS = [tenant("shop", 50)]
KEPT = route("part-lookup", priority=0, attempts=MAX_ATTEMPTS)
REMOVED = route("soundbox-tune", attempts=MAX_ATTEMPTS)


class Case(Deployment):
    async def prepare(self):
        for number, zone in enumerate(ZONES):
            await self.add_worker(f"i-{number:08x}", zone, "a", {"cpu": 64000, "mem_mb": 262144, "gpu": 0})
        self.configure([KEPT, REMOVED], TENANTS)


async def scenario(deployment, has_trouble):
    record = deployment.record
    await deployment.wait_ready()
    jobs = []
    for number in range(JOBS):
        # The first run of the task of every other job fails by its own fault.
        jobs.append(await deployment.submit("/soundbox-tune/", "key-shop", [({"count": 1, "cpu": 3900, "mem_mb": 8000, "estimate_ms": RUN_MS}, {"run_ms": RUN_MS, "fails": [1] if number % 2 else []})]))
    if None in jobs:
        raise RuntimeError("a job was not accepted")
    await asyncio.sleep(1.0)
    if has_trouble:
        deployment.configure([KEPT], TENANTS)
    await asyncio.sleep(ABSENT_S)
    if has_trouble:
        deployment.configure([KEPT, REMOVED], TENANTS)
    await asyncio.sleep(12.0)
    for job in jobs:
        state = await deployment.state("/soundbox-tune/", "key-shop", job)
        failed = sum(row["how"] == "failed" for row in record.runs.get(f"{job}.0.0.0", []))
        if state == "failed" and failed < MAX_ATTEMPTS:
            record.rule_broken("LOST", f"job {job} is shown as failed after {failed} failed run of {MAX_ATTEMPTS} allowed")
        elif state != "completed":
            record.rule_broken("LOST", f"job {job} is shown as {state}")


sys.exit(run_case(__file__, scenario, Case))

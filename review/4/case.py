"""A tenant's limit falls far below what it sends; another tenant's jobs find room but are not started."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from deployment import ZONES, Deployment, route, run_case, tenant  # noqa: E402

TRAFFIC_S = 18.0
CHANGE_S = 6.0
FINISH_S = 14.0
WATCH_S = 3.0
LARGE_PER_S = 25
BATCH_JOBS = 12
BATCH_PERIOD_S = 6.0
STEP = {"count": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 1000}
RUN_MS = 1000
ROUTE = route("part-lookup", priority=0)
BEFORE = [tenant("large", 30, cpu=48000), tenant("small", 4, cpu=48000)]
AFTER = [tenant("large", 30, cpu=500), tenant("small", 4, cpu=48000)]


class Case(Deployment):
    async def prepare(self):
        for number, zone in enumerate(ZONES):
            await self.add_worker(f"i-{number:08x}", zone, "a", {"cpu": 64000, "mem_mb": 262144, "gpu": 0})
        self.configure([ROUTE], BEFORE)


async def scenario(deployment, has_trouble):
    record = deployment.record
    await deployment.wait_ready()
    began = record.now()
    accepted = {"large": [], "small": []}

    async def one_job(name):
        # One attempt: what is refused is not owed.
        job = await deployment.submit("/part-lookup/", "key-" + name, [(STEP, {"run_ms": RUN_MS})], attempts=1)
        if job:
            accepted[name].append(job)

    async def large_tenant():
        while record.now() < began + TRAFFIC_S:
            asyncio.ensure_future(one_job("large"))
            await asyncio.sleep(1 / LARGE_PER_S)

    async def small_tenant():
        # Two jobs a second on average, half of the tenant's weight, in batches.
        for number in range(int(TRAFFIC_S / BATCH_PERIOD_S) + 1):
            await asyncio.sleep(max(0.0, began + number * BATCH_PERIOD_S - record.now()))
            for _ in range(BATCH_JOBS):
                asyncio.ensure_future(one_job("small"))

    sending = asyncio.gather(large_tenant(), small_tenant())
    await asyncio.sleep(CHANGE_S)
    if has_trouble:
        deployment.configure([ROUTE], AFTER)
    await sending
    await asyncio.sleep(1.0)
    record.line(f"traffic has ended; accepted {[(name, len(jobs)) for name, jobs in accepted.items()]}")
    await asyncio.sleep(FINISH_S)
    unfinished = [job for job in accepted["small"] if await deployment.state("/part-lookup/", "key-small", job) != "completed"]
    watched_from = record.now()
    most_used = 0
    while record.now() < watched_from + WATCH_S:
        most_used = max(most_used, sum(worker.used()["cpu"] for worker in deployment.workers))
        await asyncio.sleep(0.02)
    for job in unfinished:
        rows = record.runs.get(f"{job}.0.0.0", [])
        has_run = any(row["ended"] is None or row["ended"] > watched_from for row in rows)
        state = await deployment.state("/part-lookup/", "key-small", job)
        if not has_run and most_used < 96000:
            record.rule_broken("LOST", f"job {job} of the small tenant is {state}, nothing of it runs for {WATCH_S} s, {FINISH_S} s after the traffic; at most {most_used} of 192000 cpu are in use, and nothing of its tenant")
    record.line(f"small tenant's jobs not completed {len(unfinished)}")


sys.exit(run_case(__file__, scenario, Case))

"""A gang that can't be done, as tasks that last hold a third of each worker. Jobs that come after it must run."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import Deployment, run_case  # noqa: E402

WORKERS = 12
CAPACITY = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}
LASTING_CPU = 20_000
# One job of twenty of its class can't be done: the share that the site names for `poison`.
FATIGUE_JOBS = 20
HOPELESS_AT = 10
HOPELESS_CPU = 50_000
TUNE_JOBS = 20
TUNE_STEP = {"count": 2, "cpu": 2000, "mem_mb": 1000, "run_ms": 500}
# Bounds of RULES.md, LOST: jobs are asked for so long after the traffic, and stand still for so long.
FINISH_S = 14.0
STILL_S = 3.0
# The case looks on for longer, to tell work that is late from work that never runs.
LOOK_ON_S = 60.0


class Observer:
    """What the workers see."""

    def __init__(self, record):
        self.record = record
        self.running = {}
        self.begun = set()

    def started(self, worker, run):
        self.running[run.task, run.number] = (worker, run)
        self.begun.add(run.task.split(".")[0])
        self.record.note(f"{worker.id} starts {run.task} run {run.number}")

    def ended(self, worker, run, how):
        self.running.pop((run.task, run.number), None)
        self.record.note(f"{worker.id} ends {run.task} run {run.number}: {how}")

    def used(self, worker=None):
        return sum(run.step["cpu"] for where, run in self.running.values() if worker in (None, where))


async def play(record, has_trouble):
    observer = Observer(record)
    routes = {"lookup": {"priority": 0}, "fatigue": {"priority": 1}, "tune": {"priority": 2}}
    deployment = Deployment(record, observer, [("a", CAPACITY)] * WORKERS, routes, {})
    accepted = {}
    try:
        await deployment.open()
        if not await deployment.submit("tune", "a" * 16, [{"count": WORKERS, "cpu": LASTING_CPU, "mem_mb": 2000, "lasts": True, "apart": 1}]):
            raise RuntimeError("the job that lasts was not accepted")
        await asyncio.sleep(1)
        for number in range(FATIGUE_JOBS):
            job = f"b{number:015x}"
            step = {"count": 4, "cpu": 5000, "mem_mb": 2000, "gang": True, "run_ms": 300}
            if has_trouble and number == HOPELESS_AT:
                step = {"count": WORKERS, "cpu": HOPELESS_CPU, "mem_mb": 2000, "gang": True, "run_ms": 5000, "apart": 1}
            if await deployment.submit("fatigue", job, [step]) and step["cpu"] != HOPELESS_CPU:
                accepted[job] = (time.monotonic(), step)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        for number in range(TUNE_JOBS):
            job = f"c{number:015x}"
            if await deployment.submit("tune", job, [TUNE_STEP]):
                accepted[job] = (time.monotonic(), TUNE_STEP)
            await asyncio.sleep(0.2)
        record.note("the traffic ends")
        await asyncio.sleep(FINISH_S)
        still_since = {}
        end = time.monotonic() + LOOK_ON_S
        next_note = 0.0
        while time.monotonic() < end and len(accepted.keys() - observer.begun) > 0:
            now = time.monotonic()
            free = [CAPACITY["cpu"] - observer.used(worker) for worker in deployment.workers]
            is_half_free = observer.used() * 2 < WORKERS * CAPACITY["cpu"]
            for job, (_, step) in accepted.items():
                slots = sum(left // step["cpu"] for left in free)
                stands_still = job not in observer.begun and is_half_free and slots >= 2 * step["count"]
                still_since[job] = (still_since.get(job) or now) if stands_still else None
            if now >= next_note:
                next_note = now + 5.0
                record.note(f"in use {observer.used()} of {WORKERS * CAPACITY['cpu']}, not begun: {len(accepted.keys() - observer.begun)}")
            await asyncio.sleep(0.1)
        for job, since in still_since.items():
            if since and time.monotonic() - since > STILL_S:
                answer = await deployment.call("GET", f"/{'fatigue' if job[0] == 'b' else 'tune'}/{job}")
                record.breaks("LOST", f"{job}, accepted {time.monotonic() - accepted[job][0]:.1f} s ago, has not begun; in use {observer.used()} of "
                              f"{WORKERS * CAPACITY['cpu']}; it is shown as {answer[1].get('state') if answer else None}")
    finally:
        await deployment.close(bool(os.environ.get("KEEP")))


run_case(HERE, play)

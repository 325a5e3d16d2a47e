"""Workers are cut off from the store, crash behind the cut and start again under their ids, as another kind."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from deployment import Deployment, run_case  # noqa: E402

WORKERS = 24
CAPACITY = {"cpu": 8000, "mem_mb": 32768, "gpu": 0}
KINDS = ("a", "b")
# `kinds` names a share of 0.2 and 5 s for `srv_cut`.
CUT_WORKERS = 4
CUT_S = 5.0
DOWN_S = 0.5
LOAD_S = 25.0


class Observer:
    """What the workers see."""

    def __init__(self, record):
        self.record = record
        self.starts = 0

    def started(self, worker, run):
        self.starts += 1
        label = run.step["label"]
        self.record.note(f"{worker.id}, kind {worker.kind}, born {worker.born}, starts {run.task} run {run.number}, which requires {label}")
        if label not in (worker.kind, worker.rack):
            self.record.breaks("ROUTE", f"{run.task} run {run.number} requires the label {label} and starts on {worker.id}, which has {worker.kind} and {worker.rack}")

    def ended(self, worker, run, how):
        self.record.note(f"{worker.id} ends {run.task} run {run.number}: {how}")


async def disrupt(deployment, record):
    await asyncio.sleep(8)
    victims = deployment.workers[:CUT_WORKERS]
    for worker in victims:
        worker.cut_from_store = True
        await worker.crash()
    record.note("cut off from the store and crashed: " + ", ".join(worker.id for worker in victims))
    await asyncio.sleep(DOWN_S)
    for worker in victims:
        await worker.come_back(KINDS[worker.kind == "a"])
        record.note(f"{worker.id} has started again as kind {worker.kind}")
    await asyncio.sleep(CUT_S - DOWN_S)
    for worker in victims:
        worker.cut_from_store = False
        worker.ping()
    record.note("the cut ends; the workers have written their entries")


async def play(record, has_trouble):
    observer = Observer(record)
    # Half of the workers of each zone are of each kind.
    workers = [(KINDS[number // 3 % 2], CAPACITY) for number in range(WORKERS)]
    deployment = Deployment(record, observer, workers, {"tune": {"priority": 1}}, {})
    try:
        await deployment.open()
        disruption = asyncio.ensure_future(disrupt(deployment, record)) if has_trouble else None
        end = time.monotonic() + LOAD_S
        number = 0
        while time.monotonic() < end:
            number += 1
            await deployment.submit("tune", f"{number:016x}", [{"count": 20, "cpu": 1500, "mem_mb": 2000, "run_ms": 1000, "label": KINDS[number % 2]}])
            await asyncio.sleep(0.25)
        if disruption:
            await disruption
        await asyncio.sleep(3)
        record.note(f"{observer.starts} starts")
        if observer.starts == 0:
            raise RuntimeError("nothing was started")
    finally:
        await deployment.close(bool(os.environ.get("KEEP")))


run_case(HERE, play)

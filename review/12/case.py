"""A worker leaves as planned, and the daemon that owns the cell is stopped as planned. Judged from what the workers run."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from deployment import TROUBLE, Failed, Record, configuration, main  # noqa: E402

# One of sixteen workers leaves; `scale_in` takes up to 0.065.
WORKERS = 16
LASTING = "a000000000000001"
TASKS = 8
LASTING_CPU = 2000
# The rule: from 6 s after its last run, for 3 s. Nothing here is an impairment, so that all is calm.
AFTER_RUN_S = 6.0
STANDING_S = 3.0


class Judge(Record):
    def __init__(self, path):
        super().__init__(path)
        self.running = {}
        self.ended_at = {}
        self.standing_since = {}

    def started(self, vm, run, body):
        super().started(vm, run, body)
        self.running[run.task] = vm
        self.ended_at.pop(run.task, None)
        self.standing_since.pop(run.task, None)

    def ended(self, vm, run, how, number=None):
        super().ended(vm, run, how, number)
        self.running.pop(run.task, None)
        self.ended_at[run.task] = time.monotonic()

    def check(self, deployment):
        """Notes tasks that stand still beside room for them twice over."""
        now = time.monotonic()
        sound = [vm for vm in deployment.vms.values() if vm.up and not vm.draining]
        used = sum(run.step["cpu"] for vm in sound for run in vm.runs.values())
        places = sum((vm.capacity["cpu"] - sum(run.step["cpu"] for run in vm.runs.values())) // LASTING_CPU for vm in sound)
        for task, ended_at in self.ended_at.items():
            if now < ended_at + AFTER_RUN_S or places < 2:
                continue
            since = self.standing_since.setdefault(task, now)
            if now - since >= STANDING_S and since > 0:
                self.standing_since[task] = -1
                self.break_rule(f"LOST: {task} has not run for {now - ended_at:.1f} s, with {used} of {sum(vm.capacity['cpu'] for vm in sound)} in use")


async def play(deployment):
    record = deployment.record
    lasting = {"count": TASKS, "cpu": LASTING_CPU, "mem_mb": 100, "run_ms": 1e9, "estimate_ms": 1000, "long_running": True, "anti_affinity": 1}
    await deployment.submit("service", LASTING, [lasting], "key-a")
    await asyncio.sleep(4.0)
    if len(record.running) != TASKS:
        raise Failed("the tasks that last do not run")
    leaving = None
    end = time.monotonic() + 30.0
    if TROUBLE:
        leaving = asyncio.ensure_future(deployment.leave(record.running[f"{LASTING}.0.0.0"]))
        stop_at = time.monotonic() + 4.5
    while time.monotonic() < end:
        record.check(deployment)
        if TROUBLE and stop_at and time.monotonic() >= stop_at:
            stop_at = None
            owner = deployment.owner()
            record.write(f"SIGTERM to {owner.name}, which owns the cell")
            owner.terminate()
        await asyncio.sleep(0.02)
    if leaving:
        await leaving


if __name__ == "__main__":
    main(play, Judge(os.path.join(HERE, "record.txt")), configuration([("service", 1, 4)], [("a", "key-a", {"cpu": 0, "mem_mb": 0, "gpu": 0})]),
         workers=WORKERS, capacity={"cpu": 8000, "mem_mb": 16384, "gpu": 0})

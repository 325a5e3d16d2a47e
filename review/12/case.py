"""Tasks that use what others leave of the processor still need memory. Judged from what the workers run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from deployment import TROUBLE, Record, configuration, main  # noqa: E402

# A job: 2 tasks of 6,000 MB for 1 s. A worker has 16,384 MB and room for both.
FILLING = {"count": 2, "cpu": 1000, "mem_mb": 6000, "run_ms": 1000, "estimate_ms": 1000, "utilization": True}
GAP_S = 1.25
# `burst` of one class: x = 2.3 for 4 s.
BURST_X = 2.3
BURST_S = 4.0


class Judge(Record):
    def started(self, vm, run, body):
        super().started(vm, run, body)
        used = sum(other.step["mem_mb"] for other in vm.runs.values())
        if used > vm.capacity["mem_mb"]:
            self.break_rule(f"LIMIT: {run.task} brings {vm.id} to {used} MB of {vm.capacity['mem_mb']}: {sorted(vm.runs)}")


async def play(deployment):
    jobs = []

    async def load(gap_s, count):
        for _ in range(count):
            jobs.append(asyncio.ensure_future(deployment.submit("filling", f"{len(jobs) + 1:016x}", [FILLING], "key-a")))
            await asyncio.sleep(gap_s)

    await load(GAP_S, 8)
    if TROUBLE:
        deployment.record.write(f"burst: {BURST_X} times the jobs for {BURST_S} s")
        await load(GAP_S / BURST_X, int(BURST_S * BURST_X / GAP_S))
    await load(GAP_S, 8)
    await asyncio.sleep(3.0)
    await asyncio.gather(*jobs)


if __name__ == "__main__":
    main(play, Judge(os.path.join(HERE, "record.txt")), configuration([("filling", 1, 4)], [("a", "key-a", {"cpu": 0, "mem_mb": 0, "gpu": 0})]),
         workers=12, capacity={"cpu": 8000, "mem_mb": 16384, "gpu": 0})

"""A worker is cut off for a moment and starts again behind the cut, as another kind. Judged from what the workers are told to start."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

import deployment as small  # noqa: E402
from deployment import TROUBLE, Record, configuration, main  # noqa: E402
from loopback import Proxy  # noqa: E402

# `node_cut` of servers with reborn: a share of 0.17 for 5.5 s. Here one of 12 workers (0.083), three times, for one second.
CUT_S = 1.0
BOOT_S = 0.3
CUTS = 3
NEEDED = "a"
TASK = {"count": 2, "cpu": 100, "mem_mb": 10, "run_ms": 400, "estimate_ms": 400, "requirements": NEEDED}
GAP_S = 0.08


class Worker(small.vms.Vm):
    """A worker behind a link of its own, whose kind may change from boot to boot. It reports every heartbeat."""

    kind = NEEDED

    def report(self):
        self.sequence += 1
        self.store.put("servers/" + self.id, json.dumps({
            "service": "workers", "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
            "capacity": self.capacity, "labels": [self.kind, self.rack]}))


small.vms.Vm = Worker


class Judge(Record):
    def started(self, vm, run, body):
        super().started(vm, run, body)
        if vm.kind != NEEDED:
            self.break_rule(f"ROUTE: {run.task} needs a worker of kind {NEEDED}, and starts on {vm.id}, which is of kind {vm.kind}")


async def play(deployment):
    record = deployment.record
    proxies = {}
    for vm in deployment.vms.values():
        proxy = proxies[vm.id] = Proxy(("127.0.0.1", deployment.servers[vm.id].port))
        await proxy.open()
        vm.address = f"127.0.0.1:{proxy.port}"
        vm.report()
    await asyncio.sleep(2.0)
    jobs = []

    async def load():
        while True:
            jobs.append(asyncio.ensure_future(deployment.submit("batch", f"{len(jobs) + 1:016x}", [TASK], "key-a")))
            await asyncio.sleep(GAP_S)

    loading = asyncio.ensure_future(load())
    try:
        for _ in range(CUTS):
            await asyncio.sleep(5.0)
            vm = max((vm for vm in deployment.vms.values() if vm.kind == NEEDED), key=lambda vm: len(vm.runs))
            if not TROUBLE:
                continue
            record.write(f"{vm.id} is cut off, with {len(vm.runs)} runs")
            proxies[vm.id].silence()
            proxies[vm.id].cut.update(("up", "down"))
            await asyncio.sleep(BOOT_S)
            vm.crash()
            vm.kind = "b"
            await asyncio.sleep(BOOT_S)
            vm.come_back()
            record.write(f"{vm.id} has started again, as kind {vm.kind}")
            await asyncio.sleep(CUT_S - 2 * BOOT_S)
            proxies[vm.id].heal()
            record.write(f"{vm.id} is reached again")
        await asyncio.sleep(5.0)
    finally:
        for task in [loading, *jobs]:
            task.cancel()


if __name__ == "__main__":
    main(play, Judge(os.path.join(HERE, "record.txt")), configuration([("batch", 1, 4)], [("a", "key-a", {"cpu": 0, "mem_mb": 0, "gpu": 0})]))

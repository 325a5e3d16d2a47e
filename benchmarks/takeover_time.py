#!/usr/bin/env python3
"""Time from the loss of the cell's owner to the next accepted job, by the bandwidth of the daemons' links.

usage: takeover_time.py --build DIR [--jobs 2000] [--rounds 3] [--mbps 200 10 2] [--loss kill|freeze]

Three daemons on the platform's stand-ins, with that many ended jobs in the store. The owner is killed for good, which
closes its links, or frozen, so that its lease has to run out. Another daemon is asked to accept a job every 20 ms.
"""

import argparse
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "test", "cell"))

import cell as deployment  # noqa: E402
from loopback import Channel  # noqa: E402
from promises import Job, Promises  # noqa: E402
from soak import until_ready  # noqa: E402

STEPS = [{"count": 1, "cpu": 500, "mem_mb": 100, "run_ms": 100, "gang": 0, "saves": False, "fails": 0.0, "after": []}]


async def accept(cell, promises, number):
    """Whether the daemon beside the owner accepts a job now."""
    daemon = next(other for other in cell.daemons.values() if other is not cell.lost)
    payload = json.dumps({"queue": "urgent", "steps": STEPS})
    job = promises.jobs[f"{number:016x}"] = Job(f"{number:016x}", "urgent", "blue", payload, STEPS)
    body = json.dumps({"spec": payload, "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}]}).encode()
    headers = {"Host": "cell.example", "Authorization": "Token " + cell.keys["blue"], "X-Request-Deadline": "3000"}
    answer = await Channel(("127.0.0.1", daemon.callers.port)).call("POST", "/urgent/" + job.id, body, headers)
    return answer is not None and answer[0] == 200


async def one_round(build, mbps, jobs, loss, seed):
    promises = Promises(timed=False)
    cell = deployment.Cell(build, promises, seed, 3, 6, jobs, mbps, 0)
    try:
        await cell.open()
        await until_ready(cell)
        await asyncio.sleep(1.0)
        cell.lost = cell.owner()
        if loss == "kill":
            # What is not among the cell's daemons is not started again.
            cell.daemons.pop(cell.lost.name).kill()
        else:
            cell.lost.freeze()
        began = time.monotonic()
        number = 1 << 60
        while time.monotonic() < began + 30.0:
            number += 1
            if await accept(cell, promises, number):
                return time.monotonic() - began
            await asyncio.sleep(0.02)
        return float("inf")
    finally:
        cell.daemons[cell.lost.name] = cell.lost
        await cell.close(False)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True)
    parser.add_argument("--jobs", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--mbps", type=float, nargs="+", default=[200, 10, 2])
    parser.add_argument("--loss", choices=["kill", "freeze"], default="kill")
    options = parser.parse_args()
    print("Mbit/s  seconds to the next accepted job")
    for mbps in options.mbps:
        times = sorted(asyncio.run(one_round(options.build, mbps, options.jobs, options.loss, seed)) for seed in range(1, options.rounds + 1))
        print(f"{mbps:6g}  " + "  ".join(f"{seconds:.2f}" for seconds in times), flush=True)


if __name__ == "__main__":
    main()

"""Stand-in for the platform's advice service. It follows PROTOCOL.md, "Running tasks", `POST /advise`.

It handles one call at a time for each calling machine, in turn; a call whose caller has closed its channel keeps its turn.
Each daemon has a port of its own here, by which the service tells the machines apart.
"""

import asyncio
import random
import time

from loopback import HttpServer

MAX_WAITING = 32


class Advice:
    """`share`: part of the workers that may run a step; which they are depends on the step alone."""

    def __init__(self, workers, decide_ms, per_worker_ms, validity_ms, share):
        self.workers = workers
        self.decide_ms = decide_ms
        self.per_worker_ms = per_worker_ms
        self.validity_ms = validity_ms
        self.share = share
        self.servers = []
        # Calls that wait or are handled, by machine, and the longest time from a call to its answer.
        self.waiting = {}
        self.longest_s = {}

    async def open(self, machine):
        """Opens a port for one machine and returns it."""
        turn = asyncio.Lock()
        self.waiting[machine] = 0
        self.longest_s[machine] = 0.0

        async def handle(request):
            if self.waiting[machine] >= MAX_WAITING:
                return 429, {}
            self.waiting[machine] += 1
            came = time.monotonic()
            body = request.json()
            async with turn:
                await asyncio.sleep((self.decide_ms + self.per_worker_ms * len(body["workers"])) / 1000)
            self.waiting[machine] -= 1
            self.longest_s[machine] = max(self.longest_s[machine], time.monotonic() - came)
            known = {worker.id: worker for worker in self.workers}
            rows = [[name, self.ticket(body["step"], known[name])] for name in body["workers"] if name in known and self.is_allowed(body["step"], name)]
            return 200, {"allowed": rows, "validity_ms": self.validity_ms}

        self.servers.append(HttpServer(handle))
        await self.servers[-1].open()
        return self.servers[-1].port

    def is_allowed(self, step, worker):
        return random.Random(step + worker).random() < self.share

    def ticket(self, step, worker):
        """Valid for the tasks of one step on one life of the worker."""
        return f"{step} {worker.id} {worker.born} {int(time.time() * 1000) + self.validity_ms}"


def is_valid(ticket, task, worker):
    parts = ticket.split(" ")
    return parts[:3] == [task.rsplit(".", 1)[0], worker.id, str(worker.born)] and int(parts[3]) >= time.time() * 1000

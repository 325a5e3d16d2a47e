"""Stand-in for the platform's workers. It follows PROTOCOL.md, "Running tasks" and "Service discovery".

The payload of a job is a JSON text that says how its tasks behave, so a worker needs nothing but its orders:
{"steps": [{"run_ms", "cpu", "mem_mb", "gang", "label", "lasts"}]}. A task that lasts runs until it is stopped.
"""

import asyncio
import json
import time

from advice import is_valid
from loopback import HttpServer

HEARTBEAT_S = 1.5
STOP_GRACE_S = 0.1
GANG_TIMEOUT_S = 3.0
MAX_HOLD_MS = 10_000
LISTED_ENDS = 500


class Run:
    def __init__(self, task, number, step):
        self.task = task
        self.number = number
        self.step = step
        self.gang = (task.rsplit(".", 1)[0], number) if step.get("gang") else None
        self.arrived = time.monotonic()
        self.began = None if self.gang else self.arrived
        self.stopping = False


class Gangs:
    """Members of gangs that are present on workers; they work from the moment when all are."""

    def __init__(self):
        self.present = {}

    def join(self, worker, run):
        members = self.present.setdefault(run.gang, {})
        members[run.task] = (worker, run)
        if len(members) == run.step["gang"]:
            for _, member in members.values():
                member.began = time.monotonic()

    def leave(self, run):
        """Takes one member out and returns the others."""
        members = self.present.pop(run.gang, {}) if run.gang else {}
        members.pop(run.task, None)
        return list(members.values())


class Worker:
    """One worker at one address. `observe` gets what it is told: started(worker, run) and ended(worker, run, how)."""

    def __init__(self, worker_id, zone, kind, rack, capacity, store, gangs, observe):
        self.id = worker_id
        self.zone = zone
        self.kind = kind
        self.rack = rack
        self.capacity = capacity
        self.store = store
        self.gangs = gangs
        self.observe = observe
        self.server = HttpServer(self.handle)
        self.up = False
        # The worker does not reach the store, so that its pings are lost.
        self.cut_from_store = False
        self.draining = False
        # The worker's queues have a hint, so that a start needs a ticket.
        self.checks_tickets = False
        self.entry = None
        self.next_ping = 0.0
        self.last_ping = 0.0

    async def open(self):
        await self.server.open()
        self.address = f"127.0.0.1:{self.server.port}"
        self.boot()

    def boot(self):
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.fence = 0
        self.lease = 0
        self.refused_through = {}
        self.sequence = 0
        self.changed = asyncio.Event()
        self.up = True
        self.ping()

    async def crash(self):
        """All that it runs is gone at once, and its port refuses."""
        self.up = False
        for run in list(self.runs.values()):
            self.observe.ended(self, run, "lost")
            for worker, member in self.gangs.leave(run):
                worker.end(member, "broken")
        self.runs = {}
        await self.server.close()

    async def come_back(self, kind=None):
        """A new boot under the same id and address. It may be of another kind."""
        self.kind = kind or self.kind
        await self.server.open()
        self.boot()

    def drain(self):
        """Reports the planned shutdown."""
        self.draining = True
        self.ping()

    async def leave(self):
        """Ends the planned shutdown: all that it runs ends with it, and its entry is removed."""
        await self.crash()
        self.store.delete("servers/" + self.id)

    def ping(self):
        """Writes the entry; it changes when more than `sequence` does."""
        now = time.monotonic()
        self.next_ping = now + HEARTBEAT_S
        if self.cut_from_store or not self.up:
            return
        self.last_ping = now
        self.sequence += 1
        entry = {"service": "desk", "address": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
                 "cold_remaining_ms": 0, "born": self.born, "capacity": self.capacity, "labels": [self.kind, self.rack]}
        if entry != self.entry or "servers/" + self.id not in self.store.items:
            self.entry = entry
            self.store.put("servers/" + self.id, json.dumps({**entry, "clock_ms": self.clock(), "sequence": self.sequence}))

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def tick(self, now):
        if now >= self.next_ping:
            self.ping()
        # The platform removes an entry after three ping intervals of silence.
        if now > self.last_ping + 3 * HEARTBEAT_S and "servers/" + self.id in self.store.items:
            self.store.delete("servers/" + self.id)
        if not self.up:
            return
        if self.clock() > self.lease:
            for run in list(self.runs.values()):
                self.finish(run, "lapsed")
        for run in list(self.runs.values()):
            if run.began is None and now - run.arrived > GANG_TIMEOUT_S:
                self.finish(run, "alone")
            elif run.began is not None and not run.stopping and not run.step.get("lasts") and (now - run.began) * 1000 >= run.step["run_ms"]:
                self.finish(run, "done")

    def finish(self, run, how):
        others = self.gangs.leave(run)
        self.end(run, how)
        for worker, member in others:
            worker.end(member, "done" if how == "done" else "broken")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.refused_through[run.task] = max(run.number, self.refused_through.get(run.task, 0))
        self.ended.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.observe.ended(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        if request.headers.get("x-expected-instance") != self.id:
            return 421, {"clock_ms": self.clock()}
        body = request.json()
        if body.get("fencing_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fencing_token", 0)
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return self.stop(body)
        return await self.hold(body)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def extend(self, deadline_ms):
        self.lease = max(self.lease, min(deadline_ms, self.clock() + MAX_HOLD_MS))

    def start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] < self.clock():
            return self.refuse("late")
        self.extend(body["deadline_ms"])
        running = self.runs.get(task)
        if running and running.number == number:
            return 200, {"clock_ms": self.clock()}
        if self.checks_tickets and not is_valid(body.get("ticket", ""), task, self):
            return self.refuse("ticket")
        if running or number <= self.refused_through.get(task, 0):
            return self.refuse("old")
        run = Run(task, number, json.loads(body["spec"])["steps"][int(task.split(".")[2])])
        self.runs[task] = run
        self.observe.started(self, run)
        if run.gang:
            self.gangs.join(self, run)
        return 200, {"clock_ms": self.clock()}

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.refused_through[task] = max(number, self.refused_through.get(task, 0))
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_GRACE_S, self.finish, run, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        born = self.born
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        self.ended = [row for row in self.ended if row[0] > body["acked_through"]]
        if body.get("wait_ms") and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), min(body["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        if born != self.born or not self.up:
            return None
        now = time.monotonic()
        running = [[run.task, run.number, "", 0 if run.began is None else min(100, int((now - run.began) * 1e5 / max(1, run.step["run_ms"])))]
                   for run in self.runs.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.ended[:LISTED_ENDS]}

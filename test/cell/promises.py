"""What must hold, judged while a run goes on from what callers and VMs see."""

import time
from collections import defaultdict

from cell import EVACUATE_S, MAX_ATTEMPTS, TEAMS

# Bounds of the promises, in seconds.
CANCEL_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0
# A fault counts as near, and daemons that stood still as out of touch, for so long after its end.
NEAR_S = 3.0
# A team may be over its limit by this factor, and one task.
QUOTA_FACTOR = 1.1


class Job:
    def __init__(self, job_id, queue, team, payload, steps):
        self.id = job_id
        self.queue = queue
        self.team = team
        self.payload = payload
        self.steps = steps
        # "accepted", "refused", "unknown" by attempt.
        self.attempts = []
        self.accepted_at = None
        self.cancel_sent = False
        self.cancelled_at = None
        # The cancelling was answered with 410: the owner knew of no such job.
        self.cancelled_unknown = False
        self.shown = None

    def tasks(self):
        return [(number, index) for number, step in enumerate(self.steps) for index in range(step["count"])]


class Promises:
    """`timed`: promises with a bound in seconds are judged too, which takes a machine that is not busy."""

    def __init__(self, timed=True):
        self.timed = timed
        self.began = time.monotonic()
        self.faults = []
        self.jobs = {}
        # Runs by task: [run number, VM, life, began, ended, how].
        self.runs = defaultdict(list)
        self.ends = {}
        self.noted_failures = defaultdict(int)
        self.noted_done = {}
        self.checkpoints = defaultdict(set)
        self.use = defaultdict(int)
        self.trouble_until = 0.0
        self.out_of_touch_until = 0.0
        # Until when the store or the owner's path to it is not as usual.
        self.store_unsettled_until = 0.0
        # Zones that the operator has evacuated, and when.
        self.evacuations = {}
        self.versions = []
        self.counts = defaultdict(int)

    def broken(self, promise, text):
        self.faults.append(f"{time.monotonic() - self.began:7.3f} s  {promise}: {text}")

    def trouble(self, seconds):
        """A disruption begins that lasts so long."""
        self.trouble_until = max(self.trouble_until, time.monotonic() + seconds + NEAR_S)

    def out_of_touch(self, seconds):
        """Daemons stand still for so long; they send what was on its way when they go on."""
        self.out_of_touch_until = max(self.out_of_touch_until, time.monotonic() + seconds + NEAR_S)

    def store_trouble(self, seconds):
        self.store_unsettled_until = max(self.store_unsettled_until, time.monotonic() + seconds + NEAR_S)

    def evacuated(self, zone):
        self.evacuations[zone] = time.monotonic()
        self.counts["evacuations"] += 1

    def taken_back(self, zone):
        self.evacuations.pop(zone, None)

    def is_calm(self):
        return self.timed and time.monotonic() >= self.trouble_until

    def configured(self, cell):
        self.versions.append((time.monotonic(), dict(cell.keys), dict(cell.routes)))

    # From the VMs.

    def started(self, vm, run, body):
        now = time.monotonic()
        self.counts["starts"] += 1
        text = f"{run.task} run {run.number} on {vm.id}"
        job = self.jobs.get(run.job)
        number, index = (int(part) for part in run.task.split(".")[2:])
        if job is None or body["spec"] != job.payload or (number, index) not in job.tasks():
            return self.broken("only what callers sent runs", text)
        if run.checkpoint and run.checkpoint not in self.checkpoints[run.gang if run.step["gang"] else run.task]:
            self.broken("a start carries its own checkpoint", f"{text}: {run.checkpoint}")
        for resource in ("cpu", "mem_mb"):
            used = sum(other.step[resource] for other in vm.runs.values())
            if used > vm.capacity[resource]:
                self.broken("no VM is overcommitted", f"{text}: {resource} {used} of {vm.capacity[resource]}")
        for other in self.runs[run.task]:
            if other["ended"] is None:
                self.broken("no task runs twice at a time", f"{text}, and run {other['run']} on {other['vm']}")
        if self.noted_failures[run.task] >= MAX_ATTEMPTS:
            self.broken("no task is tried beyond its attempts", text)
        for earlier in job.steps[number].get("after", []):
            if not all(self.is_done(job.id, earlier, i) for i in range(job.steps[earlier]["count"])):
                self.broken("steps run in their order", f"{text}: step {earlier} is not done")
        # Bounds in seconds hold by when the order came: a VM may carry it out late.
        came = vm.start_came
        on_time = self.timed and now >= self.out_of_touch_until and came >= vm.held_up_until
        if on_time and job.cancelled_at and came > job.cancelled_at + CANCEL_S:
            self.broken("a cancelled job starts nothing", f"{text}: cancelled {came - job.cancelled_at:.1f} s before")
        if job.cancelled_unknown:
            self.broken("a job that was cancelled before it was known never starts", f"{text}: cancelled {now - job.cancelled_at:.1f} s before")
        if on_time and self.is_calm() and vm.draining and came > vm.draining_since + DRAIN_S:
            self.broken("a leaving VM gets no new work", text)
        evacuated_at = self.evacuations.get(vm.zone, now)
        if on_time and now >= self.store_unsettled_until and came > evacuated_at + EVACUATE_S:
            self.broken("no task starts in an evacuated zone", f"{text}: {came - evacuated_at:.1f} s after the evacuation of {vm.zone}")
        self.runs[run.task].append({"run": run.number, "vm": vm.id, "began": now, "ended": None, "how": None, "noted": False})
        limit = TEAMS[job.team]
        self.use[job.team] += run.step["cpu"]
        if limit and self.use[job.team] > limit * QUOTA_FACTOR + run.step["cpu"]:
            self.broken("no team is over its limit", f"{text}: {self.use[job.team]} of {limit}")

    def ended(self, vm, run, how, number=None):
        for row in self.runs[run.task]:
            if row["run"] == run.number and row["vm"] == vm.id and row["ended"] is None:
                row["ended"], row["how"] = time.monotonic(), how
                self.use[self.jobs[run.job].team] -= run.step["cpu"]
                if number is not None:
                    self.ends[(vm.id, vm.born, number)] = (run.task, how, row)
        self.counts["ended " + how] += 1

    def saved(self, name, checkpoint):
        if checkpoint:
            self.checkpoints[name].add(checkpoint)

    def acknowledged(self, vm, through):
        for number in range(through, 0, -1):
            end = self.ends.pop((vm.id, vm.born, number), None)
            if end is None:
                return
            task, how, row = end
            row["noted"] = number > vm.void_through
            if row["noted"] and how == "failed":
                self.noted_failures[task] += 1

    def is_done(self, job, step, index):
        return any(row["how"] == "done" for row in self.runs[f"{job}.0.{step}.{index}"])

    def failed_runs(self, job):
        """The most failed runs of one task; a run of a gang counts once, whichever members failed."""
        failed = defaultdict(set)
        for step, index in job.tasks():
            for row in self.runs[f"{job.id}.0.{step}.{index}"]:
                if row["how"] == "failed":
                    failed[step, 0 if job.steps[step].get("gang") else index].add(row["run"])
        return max(map(len, failed.values()), default=0)

    # From the callers.

    def submitted(self, job, status):
        if status in (429, 503, 404, 401, 400):
            job.attempts.append("refused")
            return
        job.attempts.append("accepted" if status == 200 else "unknown")
        if status == 200 and job.accepted_at is None:
            job.accepted_at = time.monotonic()
            self.counts["accepted"] += 1

    def asked(self, job, status, state):
        if job.accepted_at is None:
            return
        if status == 410:
            self.broken("an accepted job is known", f"{job.id} is answered with 410")
        if status != 200:
            return
        job.shown = state
        if state == "completed":
            missing = [task for task in job.tasks() if not self.is_done(job.id, *task)]
            if missing:
                self.broken("completed means that all is done", f"{job.id}: not done: {missing[:3]}")
        if state == "cancelled" and not job.cancel_sent:
            self.broken("nothing ends without a cause", f"{job.id} is shown as cancelled")
        if state == "failed" and all(self.noted_failures[f"{job.id}.0.{step}.{index}"] == 0 for step, index in job.tasks()):
            self.broken("nothing ends without a cause", f"{job.id} is shown as failed")
        if state == "failed" and self.failed_runs(job) < MAX_ATTEMPTS:
            self.broken("a job fails only after all attempts", f"{job.id} is shown as failed after {self.failed_runs(job)} failed runs of a task")

    def unanswered(self, daemon, what, planned):
        """A call of a caller ended without a whole answer."""
        self.counts["unanswered"] += 1
        if self.is_calm():
            self.broken("a planned stop cuts no call" if planned else "every call is answered", f"{what} at {daemon}")

    # At the end.

    def finish(self):
        for job in self.jobs.values():
            begun = any(self.runs[f"{job.id}.0.{step}.{index}"] for step, index in job.tasks())
            if begun and job.attempts and all(attempt == "refused" for attempt in job.attempts):
                self.broken("what was refused never runs", f"{job.id}: {job.attempts}")
            if job.accepted_at and not job.cancel_sent and job.shown not in ("completed", "failed"):
                self.broken("every accepted job is finished", f"{job.id} ({job.queue}) is shown as {job.shown}")
        for task, rows in self.runs.items():
            done = [row for row in rows if row["how"] == "done" and row["noted"]]
            for row in rows:
                if done and row["began"] > min(end["ended"] for end in done):
                    self.broken("nothing that is done runs again", f"{task} run {row['run']} on {row['vm']}")
        return self.faults

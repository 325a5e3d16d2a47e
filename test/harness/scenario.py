#!/usr/bin/env python3
"""Runs scenarios: one verb a line, real processes, judged by the stand-ins' records.

usage: scenario.py --build DIR [--keep] FILE...
"""

import argparse
import collections
import json
import os
import random
import shlex
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import judge
from cluster import Cluster, wait_until


class Request:
    """One request to a service, with the answer that came."""

    def __init__(self, name, target, key):
        self.name = name
        self.target = target
        self.key = key
        self.status = None
        self.outcome = ""
        self.error = ""
        self.vm = None
        self.answered_target = None
        self.runs = 0
        self.seconds = 0.0

    def send(self, cluster, daemon, service, team):
        headers = {"Idempotency-Key": self.key} if self.key else {}
        start = time.monotonic()
        reply = cluster.request(daemon, "POST", f"/v1/services/{service}{self.target}", "body for " + self.target, team, headers)
        self.seconds = time.monotonic() - start
        self.status = reply.status
        body = json.loads(reply.body) if reply.body.startswith("{") else {}
        self.outcome = body.get("outcome", "")
        self.error = body.get("error", reply.body if reply.status == 0 else "")
        self.vm = body.get("vm")
        self.answered_target = body.get("target")


class Load(threading.Thread):
    """Requests from one caller, one after the other, until it is told to stop."""

    def __init__(self, scenario, service, ms, team, daemons, seed):
        super().__init__(daemon=True)
        self.scenario = scenario
        self.service = service
        self.ms = ms
        self.team = team
        self.daemons = daemons
        self.random = random.Random(seed)
        self.stopping = threading.Event()
        self.requests = []

    def run(self):
        while not self.stopping.is_set():
            daemons = [name for name in self.daemons if name not in self.scenario.out_of_balancer]
            number = len(self.requests)
            request = Request(f"load{self.ident}-{number}", f"/load/{self.ident}/{number}?ms={self.ms}", None)
            self.requests.append(request)
            request.send(self.scenario.cluster, self.random.choice(daemons), self.service, self.team)


class Scenario:
    """Carries out the lines of one scenario."""

    def __init__(self, build, keep):
        self.build = build
        self.keep = keep
        self.cluster = None
        self.jobs = {}
        self.teams_of_jobs = {}
        self.requests = {}
        self.threads = {}
        self.loads = []
        self.limits = {}
        self.repeatable = False
        self.out_of_balancer = set()
        self.exits = {}

    def run(self, path):
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
        try:
            for number, line in enumerate(lines, 1):
                words = shlex.split(line, comments=True)
                if not words:
                    continue
                started = time.monotonic()
                try:
                    self.carry_out(words)
                except Exception as error:
                    raise AssertionError(f"{path}:{number}: {line.strip()}: {error}") from error
                if self.keep:
                    print(f"  {time.monotonic() - started:6.2f} s  {line.strip()}", flush=True)
            return self.judge()
        finally:
            for load in self.loads:
                load.stopping.set()
            if self.cluster:
                if self.keep:
                    print("  records:", self.cluster.folder)
                self.cluster.stop()

    def carry_out(self, words):
        positional = [word for word in words[1:] if "=" not in word or word.startswith("/")]
        options = dict(word.split("=", 1) for word in words[1:] if "=" in word and not word.startswith("/"))
        getattr(self, "do_" + words[0].replace("-", "_"))(*positional, **options)

    # Verbs.

    def do_cluster(self, config="kral", **options):
        numbers = {name: int(value) for name, value in options.items() if name != "repeatable"}
        self.cluster = Cluster(self.build, config, keep=self.keep, **numbers).start()
        self.limits = {team["name"]: team["running_limit"] for team in self.cluster.config["teams"]}

    def daemon(self, name=None):
        return name or self.balanced()[0]

    def balanced(self):
        return sorted(name for name in self.cluster.live() if name not in self.out_of_balancer)

    def do_submit(self, name, queue, team, run="200", tasks="1", cpus="1", memory="0", uses="0", at=None, fail="", key=None, expect="201"):
        work = {"runMs": int(run), "usesMemoryMb": float(uses), "fail": bool(fail)}
        headers = {"Idempotency-Key": key} if key else {}
        body = {"work": json.dumps(work), "name": name, "tasks": int(tasks), "cpus": float(cpus), "memory_mb": float(memory)}
        def submitted():
            reply = self.cluster.request(self.daemon(at), "POST", f"/v1/queues/{queue}/jobs", body, team, headers)
            # A refusal that asks for a retry is retried, as a caller would.
            return None if expect == "201" and reply.status == 503 else reply
        reply = wait_until(f"an answer to {name}", submitted, 30)
        assert reply.status == int(expect), f"{reply.status} {reply.body}"
        if reply.status == 201:
            self.jobs[name] = reply.json()["id"]
            self.teams_of_jobs[self.jobs[name]] = team

    def do_submit_many(self, prefix, queue, team, count, **options):
        for index in range(int(count)):
            self.do_submit(f"{prefix}{index}", queue, team, at=random.Random(index).choice(self.balanced()), **options)

    def matching(self, name):
        if name.endswith("*"):
            return [job for key, job in self.jobs.items() if key.startswith(name[:-1])]
        return [self.jobs[name]]

    def do_wait(self, name, state="succeeded", seconds="60"):
        for job in self.matching(name):
            self.cluster.wait_job(job, state, float(seconds))

    def do_running(self, name, seconds="30", active="1"):
        """Waits until a job has so many tasks that are sent to a VM or run there."""
        job = self.jobs[name]
        wait_until(f"{name} running", lambda: (self.cluster.job(job) or {}).get("tasks", {}).get("active", 0) >= int(active), float(seconds))

    def do_started(self, name, seconds="30", count="1"):
        """Waits until VMs have recorded so many starts of a job."""
        job = self.jobs[name]
        starts = lambda: sum(event["event"] == "task_start" and event["job"] == job for event in self.cluster.records())
        wait_until(f"{name} started", lambda: starts() >= int(count), float(seconds))

    def do_cancel(self, name, expect="200"):
        for job in self.matching(name):
            reply = wait_until("an answer", lambda: self.refused_retry("DELETE", job), 30)
            assert reply.status == int(expect), f"{reply.status} {reply.body}"

    def refused_retry(self, method, job):
        reply = self.cluster.operate(self.daemon(), method, "/v1/jobs/" + job)
        return None if reply.status in (0, 503) else reply

    def do_request(self, name, service, ms="0", at=None, team=None, key=None, expect=None, outcome=None, error=None, path=None):
        request = Request(name, path or f"/{name}?ms={ms}", key)
        self.requests[name] = request
        request.send(self.cluster, self.daemon(at), service, team)
        self.check(request, expect, outcome, error)

    def check(self, request, expect=None, outcome=None, error=None):
        seen = f"{request.status} {request.error} {request.outcome}"
        assert expect is None or str(request.status) in expect.split(","), seen
        assert outcome is None or request.outcome in outcome.replace("-", " ").split(","), seen
        assert error is None or request.error in error.split(","), seen

    def do_send(self, name, service, ms="0", at=None, team=None, key=None, path=None):
        """Sends a request without waiting for its answer."""
        request = Request(name, path or f"/{name}?ms={ms}", key)
        self.requests[name] = request
        self.threads[name] = threading.Thread(target=request.send, args=(self.cluster, self.daemon(at), service, team), daemon=True)
        self.threads[name].start()

    def do_answer(self, name, expect=None, outcome=None, error=None):
        self.threads.pop(name).join(60)
        self.check(self.requests[name], expect, outcome, error)

    def do_begun(self, name, seconds="10"):
        target = self.requests[name].target
        wait_until(f"{name} at an endpoint", lambda: any(event["event"] == "request_begin" and event["target"] == target for event in self.cluster.records()), float(seconds))

    def do_load(self, service, callers="8", ms="5", team=None):
        for index in range(int(callers)):
            load = Load(self, service, int(ms), team, sorted(self.cluster.http), index)
            self.loads.append(load)
            load.start()

    def do_load_end(self, lost="0", least="1"):
        for load in self.loads:
            load.stopping.set()
        for load in self.loads:
            load.join(60)
        done = [request for load in self.loads for request in load.requests]
        failed = [request for request in done if request.status != 200]
        kinds = {}
        for request in failed:
            kinds[request.error] = kinds.get(request.error, 0) + 1
        print(f"  load: {len(done)} requests, {len(failed)} not answered with 200 {kinds or ''}")
        assert len(done) >= int(least), f"only {len(done)} requests"
        if lost != "any":
            assert len(failed) <= int(lost), f"{len(failed)} of {len(done)} requests failed: {kinds}"
        for request in done:
            self.requests[request.name] = request
        self.loads = []

    def do_kill(self, name):
        self.out_of_balancer.add(name)
        self.cluster.kill(name)

    def do_start(self, name):
        self.cluster.start_daemon(name)
        wait_until(f"{name} ready", lambda: self.cluster.is_ready(name))
        self.out_of_balancer.discard(name)

    def do_start_unready(self, name):
        """Starts a daemon that cannot become ready yet, such as in an outage."""
        self.cluster.start_daemon(name)
        self.cluster.wait_listening(name)
        self.out_of_balancer.discard(name)

    def do_terminate(self, name, expect="0"):
        """Stops a daemon as the balancer does it: first nothing new, then the signal."""
        self.out_of_balancer.add(name)
        code = self.cluster.terminate(name)
        assert code == int(expect), f"{name} ended with {code}"

    def do_freeze(self, name):
        self.out_of_balancer.add(name)
        self.cluster.freeze(name)

    def do_thaw(self, name):
        self.cluster.thaw(name)
        self.out_of_balancer.discard(name)

    def do_cut(self, *domains, platform=""):
        groups = [self.cluster.domain(domain) for domain in domains]
        rest = [name for name in self.cluster.http if self.cluster.daemon_domain[name] not in domains]
        cut_off = [name for domain in platform.split(",") if domain for name in self.cluster.domain(domain)]
        self.cluster.cut(rest, *groups, platform=cut_off)

    def do_cut_daemons(self, *names, platform=""):
        """Cuts single daemons off from all others."""
        rest = [name for name in self.cluster.http if name not in names]
        self.cluster.cut(rest, *[[name] for name in names], platform=[name for name in platform.split(",") if name])

    def do_heal(self):
        self.cluster.heal()

    def do_store(self, mode, ms="0"):
        modes = {"up": {}, "down": {"down": True}, "silent": {"silent": True}, "slow": {"slowMs": int(ms)}, "lose-answers": {"loseAnswers": True}}
        self.cluster.store_mode(**modes[mode])

    def do_vm(self, vm, mode, ms="0"):
        if mode == "restart":
            self.cluster.vm_restart(vm)
            return
        modes = {"well": {}, "fail-all": {"failAll": True}, "frozen": {"frozen": True}, "leaving": {"leaving": True},
                 "silent": {"silentConnections": True}, "slow": {"slowMs": int(ms)}}
        self.cluster.vm_mode(vm, **modes[mode])

    def do_drain(self, vm, expect="200"):
        reply = wait_until("the drain", lambda: self.accepted("POST", f"/v1/vms/{vm}/drain"), 30)
        assert reply.status == int(expect), reply.body

    def accepted(self, method, path, body=None):
        reply = self.cluster.operate(self.daemon(), method, path, body)
        return None if reply.status in (0, 412, 503) else reply

    def do_withdraw(self, team):
        reply = wait_until("the withdrawal", lambda: self.accepted("DELETE", f"/v1/keys/{team}-key"), 30)
        assert reply.status == 200, reply.body

    def do_grant(self, team):
        self.cluster.grant_key(self.daemon(), f"{team}-key{random.randrange(10**9)}", team)

    def do_refused(self, service, team, within="10", at="all"):
        """Waits until a team's key is refused at every daemon that is not frozen."""
        daemons = self.cluster.live() if at == "all" else at.split(",")
        for name in daemons:
            def refused():
                request = Request(f"probe{len(self.requests)}", f"/probe/{len(self.requests)}", None)
                self.requests[request.name] = request
                request.send(self.cluster, name, service, team)
                return request.error in ("unauthorized", "stale_configuration")
            wait_until(f"{team}'s key refused at {name}", refused, float(within))

    def do_limit(self, team, limit, expect="200"):
        """Changes a team's upper limit; a conflict with another operator's change is tried again."""
        config = json.loads(json.dumps(self.cluster.config))
        for entry in config["teams"]:
            if entry["name"] == team:
                entry["running_limit"] = int(limit)
        def put():
            reply = self.cluster.put_config(self.daemon(), json.dumps(config))
            return None if reply.status in (0, 412, 503) else reply
        reply = wait_until("the limit", put, 30)
        assert reply.status == int(expect), f"{reply.status} {reply.body}"
        if reply.status == 200:
            self.cluster.config = config
            # The judge knows one limit for the whole run: the greatest that was in force.
            self.limits[team] = max(self.limits[team], int(limit)) if expect == "200" else self.limits[team]

    def do_in_force(self, seconds="17"):
        """Waits until all daemons that answer hold the newest version."""
        def same():
            versions = {self.cluster.operate(name, "GET", "/v1/status").json()["fleet_version"] for name in self.cluster.live()}
            return len(versions) == 1
        wait_until("one version everywhere", same, float(seconds))

    def do_settled(self, seconds="60"):
        self.cluster.wait_settled(float(seconds))

    def do_sleep(self, seconds):
        time.sleep(float(seconds))

    def do_note_runs(self, prefix, least="1"):
        """So many tasks of the jobs named must have run."""
        jobs = set(self.matching(prefix))
        starts = sum(event["event"] == "task_start" and event["job"] in jobs for event in self.cluster.records())
        assert starts >= int(least), f"{starts} starts"

    def do_never_on(self, vm, after="0"):
        """Nothing new may have started on a VM since the last `mark`, but for a few seconds."""
        limit = self.marked + float(after) * 1e6
        late = [event for event in self.cluster.records() if event["vm"] == vm and event["event"] in ("task_start", "request_begin") and event["t"] > limit]
        assert not late, f"{len(late)} starts on {vm}, the first {(late[0]['t'] - self.marked) / 1e6:.1f} s after the mark"

    def do_mark(self):
        self.marked = time.clock_gettime(time.CLOCK_MONOTONIC) * 1e6

    # The verdict.

    def judge(self):
        for thread in self.threads.values():
            thread.join(30)
        events = self.cluster.records()
        attempts = judge.task_attempts(events)
        verdict = judge.Verdict()
        requests = list(self.requests.values())
        begun = collections.Counter(event["target"] for event in events if event["event"] == "request_begin")
        for request in requests:
            request.runs = begun[request.target]
        judge.judge_overcommit(verdict, events, attempts, self.cluster.vm)
        judge.judge_one_place(verdict, attempts)
        judge.judge_limits(verdict, attempts, self.teams_of_jobs, self.limits)
        judge.judge_requests(verdict, events, requests, self.repeatable)
        verdict.rows = judge.table(attempts, [request for request in requests if not request.name.startswith(("load", "probe"))], self.jobs)
        return verdict


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True, help="build folder with the programs")
    parser.add_argument("--keep", action="store_true", help="keeps the records and shows each line's time")
    parser.add_argument("--table", action="store_true", help="prints what ran, where and how often")
    parser.add_argument("files", nargs="+")
    arguments = parser.parse_args()
    failed = 0
    for path in arguments.files:
        started = time.monotonic()
        try:
            verdict = Scenario(os.path.abspath(arguments.build), arguments.keep).run(path)
            faults = verdict.faults
        except Exception as error:
            if arguments.keep:
                traceback.print_exc()
            verdict, faults = None, [str(error)]
        if verdict and arguments.table:
            judge.print_table(verdict.rows)
        word = "FAIL" if faults else "ok"
        print(f"{word}  {os.path.basename(path)}  {time.monotonic() - started:.1f} s", flush=True)
        for fault in faults[:10]:
            print("      " + fault)
        failed += bool(faults)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

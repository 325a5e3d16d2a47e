"""A small deployment on loopback for the cases of review 3: the project's stand-ins of the store and the workers
(test/cell), and daemons as processes with the command and the settings of the deploy files."""

import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import defaultdict

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "cell"))

import vms  # noqa: E402
from loopback import Channel, HttpServer  # noqa: E402
from store import Store  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
REGISTRY_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# No queue of these cases has a hint, so a start carries no ticket.
vms.ticket = lambda step, vm: None


def end_with_parent():
    """A script that is killed leaves no daemon behind."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Failed(Exception):
    """The case could not run."""


class Record:
    """What the workers see, written to record.txt. Cases override the hooks that they judge."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.counts = defaultdict(int)
        self.broken = []

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()

    def break_rule(self, text):
        self.broken.append(text)
        self.write("BROKEN  " + text)

    def started(self, vm, run, body):
        self.counts["starts"] += 1
        self.write(f"started {run.task} run {run.number} on {vm.id}")

    def ended(self, vm, run, how, number=None):
        self.counts["ended " + how] += 1
        self.write(f"ended   {run.task} run {run.number} on {vm.id}: {how}")

    def saved(self, name, checkpoint):
        pass

    def acknowledged(self, vm, through):
        pass


class Daemon:
    """One process of the system."""

    def __init__(self, deployment, name, zone):
        self.deployment = deployment
        self.name = name
        self.callers, self.readiness, self.peers, self.metrics = (("127.0.0.1", deployment.take_port()) for _ in range(4))
        self.zone = zone
        self.process = None

    def start(self):
        text = lambda address: "%s:%d" % address
        settings = {
            "mode": "cell", "name": self.name, "failure_domain": self.zone, "listen_callers": text(self.callers),
            "listen_readiness": text(self.readiness), "listen_peers": text(self.peers), "listen_metrics": text(self.metrics),
            "store": "127.0.0.1:%d" % self.deployment.store_server.port, "advice": "", "shortest_store_lease_ms": 1000,
            "longest_vm_lease_ms": 10000, "grace_s": 6, "job_retention_s": 120, "processor_share": 0.25, "link_mbps": 1000.0, "spread_factor": 3}
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, "target/tools/heatherchuted"), "--settings", path], cwd=ROOT, stdout=log, stderr=log,
                                            preexec_fn=end_with_parent)

    def supervise(self):
        """Starts the process again when it has ended, as the platform does."""
        code = self.process.poll()
        if code is not None:
            self.deployment.record.write(f"{self.name} ended by itself with {code}")
            self.start()


class Deployment:
    def __init__(self, record, config, workers=12, daemons=6, capacity=None):
        self.record = record
        self.config = config
        self.folder = tempfile.mkdtemp(prefix="heatherchute-review-")
        self.store = Store(1)
        self.store_server = HttpServer(self.store.handle)
        self.counts = (workers, daemons)
        self.capacity = capacity or {"cpu": 8000, "mem_mb": 16384, "gpu": 0}
        self.vms = {}
        self.servers = {}
        self.daemons = {}
        self.holders = []
        self.loop = None

    def take_port(self):
        """A port that only a listener bound to it by number gets."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        self.holders.append(holder)
        return holder.getsockname()[1]

    async def open(self):
        if not os.access(os.path.join(ROOT, "target/tools/heatherchuted"), os.X_OK):
            raise Failed("target/tools/heatherchuted is missing: run the build of deploy/system.toml")
        await self.store_server.open()
        gangs = vms.Gangs()
        workers, daemons = self.counts
        for number in range(workers):
            vm = vms.Vm(f"i-{number:04d}", ZONES[number % 3], f"r{number % 3}-{number // 6}", self.store, gangs, self.record, number, self.capacity)
            server = self.servers[vm.id] = HttpServer(vm.handle)
            await server.open()
            vm.address = f"127.0.0.1:{server.port}"
            self.vms[vm.id] = vm
            vm.come_back()
        self.store.put("op/config", json.dumps(self.config))
        for number in range(daemons):
            daemon = self.daemons[f"daemon-{number}"] = Daemon(self, f"daemon-{number}", ZONES[number % 3])
            daemon.start()
        self.loop = asyncio.ensure_future(self.run())
        end = time.monotonic() + 20
        for daemon in self.daemons.values():
            while True:
                answer = await Channel(daemon.readiness).call("GET", "/readiness", seconds=0.5)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise Failed(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("all daemons are ready")

    async def run(self):
        report_at = 0.0
        while True:
            now = time.monotonic()
            for vm in self.vms.values():
                vm.tick(now)
                if not vm.up and now > vm.down_since + REGISTRY_S:
                    self.store.delete("servers/" + vm.id)
            self.store.expire()
            if now >= report_at:
                report_at = now + 1.0
                for vm in self.vms.values():
                    if vm.up:
                        vm.report()
            for daemon in self.daemons.values():
                daemon.supervise()
            await asyncio.sleep(0.01)

    async def call(self, daemon, method, path, key, body=None):
        headers = {"Host": "cell.example", "X-Request-Deadline": "3000", "Authorization": "Token " + key}
        channel = Channel(daemon.callers)
        answer = await channel.call(method, path, json.dumps(body).encode() if body is not None else b"", headers, 3.3)
        channel.close()
        status = answer[0] if answer else None
        value = json.loads(answer[2] or b"{}") if answer else {}
        self.record.write(f"{method} {path} at {daemon.name}: {status} {value.get('state', '')}")
        return status, value

    async def submit(self, queue, job, steps, key):
        """Hands a job in until it is accepted. `steps` has what the workers' stand-in needs besides the fields of the wire."""
        own = ("run_ms", "saves", "fails")
        payload = json.dumps({"queue": queue, "steps": [
            {"run_ms": step["run_ms"], "cpu": step.get("cpu", 0), "mem_mb": step.get("mem_mb", 0), "gang": step["count"] if step.get("gang") else 0,
             "saves": step.get("saves", False), "fails": step.get("fails", 0)} for step in steps]})
        body = {"spec": payload, "steps": [{name: value for name, value in step.items() if name not in own} for step in steps]}
        names = list(self.daemons)
        for attempt in range(8):
            daemon = self.daemons[names[(int(job, 16) + attempt) % len(names)]]
            status, _ = await self.call(daemon, "POST", f"/{queue}/{job}", key, body)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise Failed(f"job {job} was not accepted")

    async def close(self):
        if self.loop:
            self.loop.cancel()
        for daemon in self.daemons.values():
            if daemon.process:
                daemon.process.kill()
                daemon.process.wait()
        for holder in self.holders:
            holder.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(queues, teams):
    """The operator's configuration: queues as (name, priority, attempts), teams as (name, key, upper limit)."""
    return {
        "version": 1,
        "routes": [{"name": name, "host": "cell.example", "path_prefix": f"/{name}/", "service": "workers", "priority": priority, "max_attempts": attempts,
                    "stretch": 2.0, "target_latency_ms": 1000} for name, priority, attempts in queues],
        "services": [{"name": "workers", "max_connections": 64, "preconditions": False}],
        "tenants": [{"name": name, "api_keys": [key], "weight": 100, "upper_limit": limit} for name, key, limit in teams], "limits": {}}


def main(play, record, config, **options):
    """Runs `play(deployment)`; the exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    deployment = Deployment(record, config, **options)

    async def run():
        try:
            await deployment.open()
            await play(deployment)
        finally:
            await deployment.close()

    try:
        asyncio.run(asyncio.wait_for(run(), 115))
    except Exception as error:  # Whatever it is, it is no broken rule.
        record.write(f"could not run: {error!r}")
        print("could not run:", repr(error))
        sys.exit(2)
    verdict = "BROKEN" if record.broken else "held"
    record.write(f"{verdict}; {dict(record.counts)}")
    print(f"{verdict}: {len(record.broken)} findings; {dict(record.counts)}")
    for text in record.broken[:5]:
        print(" ", text)
    sys.exit(1 if record.broken else 0)

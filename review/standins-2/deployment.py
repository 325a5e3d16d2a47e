"""A small deployment on loopback: store, workers and callers as stand-ins in this process, the daemons as processes.

The daemons run with the command of deploy/system.toml, and with settings rendered from deploy/settings.json.in with the
figures of the site kral-dielna.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "cell"))
sys.dont_write_bytecode = True

from advice import Advice  # noqa: E402
from loopback import Channel, HttpServer, Proxy  # noqa: E402
from store import Store  # noqa: E402
from worker import Gangs, Worker  # noqa: E402

ZONES = ["zilina-a", "zilina-b", "zilina-c"]
KEY = "key-workshop"
HOST = "desk.example"
PATIENCE_S = 3.0


class Record:
    """What was sent, answered and run, with the time since the beginning."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.broken = []

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")

    def breaks(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")


def value_at(fields, path):
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def render(template, fields):
    """Fills in a template as DEPLOY.md tells; sections over lists and tables are not used here."""
    def section(match):
        return match.group(2) if value_at(fields, match.group(1)) else ""

    def placeholder(match):
        value = value_at(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def end_with_parent():
    """A script that is killed leaves no daemon behind."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Daemon:
    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"front-{ZONES[number % 3]}-{number // 3 + 1}"
        self.zone = ZONES[number % 3]
        self.ip = f"{deployment.network}.{number + 1}"
        self.store = Proxy(("127.0.0.1", deployment.store_server.port))
        self.process = None
        self.exits = []
        self.stopping = False

    async def open(self):
        await self.store.open()
        ports = self.deployment.ports
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": f"{self.ip}:{ports[0]}", "readiness": f"{self.ip}:{ports[1]}"},
            "internal_ports": [ports[2], ports[3]], "platform": {"address": f"127.0.0.1:{self.store.port}", "ttl_min_ms": 1000},
            "hint": f"127.0.0.1:{await self.hint_port()}", "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "bounds": {"max_hold_ms": 10000, "grace_s": 6, "status_s": 120, "spread_factor": 3}}
        with open(os.path.join(ROOT, "deploy", "settings.json.in"), encoding="utf-8") as file:
            text = render(file.read(), fields).replace(":9464", f":{ports[4]}")
        self.settings = os.path.join(self.deployment.folder, self.name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def hint_port(self):
        """Nobody asks for advice where no queue has a hint."""
        return await self.deployment.advice.open(self.name) if self.deployment.advice else self.deployment.store_server.port

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["daemon"]["run"].split()
        command[command.index("--settings") + 1] = self.settings
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, preexec_fn=end_with_parent)

    def send(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def supervise(self):
        """Starts the process again when it has ended, as the platform does."""
        if self.stopping or self.process is None or self.process.poll() is None:
            return
        self.exits.append(self.process.returncode)
        self.deployment.record.note(f"{self.name} ended with {self.process.returncode}; started again")
        self.start()

    def stop(self):
        self.stopping = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()


class Deployment:
    """`workers`: (kind, capacity) of each. `routes`: fields of each queue beside its name. `hint`: times of the advice service, as in
    Advice, for deployments whose queues have one."""

    def __init__(self, record, observe, workers, routes, tenant, daemons=6, hint=None):
        self.record = record
        self.observe = observe
        self.folder = tempfile.mkdtemp(prefix="heatherchute-review-")
        # Each daemon has an address of its own, so that all have the same ports.
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = self.free_ports(5)
        self.store = Store(random.getrandbits(32))
        self.store.page_items = 500
        self.store_server = HttpServer(self.store.handle)
        self.hint = hint
        self.advice = None
        self.gangs = Gangs()
        self.worker_rows = workers
        self.workers = []
        self.routes = routes
        self.tenant = tenant
        self.daemon_count = daemons
        self.daemons = []
        self.version = 0
        self.loop_task = None
        self.next_daemon = 0
        # Seconds after which a client tries again, by the latest answer.
        self.retry_after = 0.5

    def free_ports(self, count):
        sockets = []
        for _ in range(count):
            sockets.append(socket.socket())
            sockets[-1].bind((self.network + ".1", 0))
        ports = [one.getsockname()[1] for one in sockets]
        for one in sockets:
            one.close()
        return ports

    async def open(self):
        await self.store_server.open()
        for number, (kind, capacity) in enumerate(self.worker_rows):
            worker = Worker(f"w-{number:04d}", ZONES[number % 3], kind, f"r{number % 3}-{number // 24}", capacity, self.store, self.gangs, self.observe)
            worker.checks_tickets = self.hint is not None
            await worker.open()
            self.workers.append(worker)
        if self.hint:
            self.advice = Advice(self.workers, **self.hint)
        self.configure()
        for number in range(self.daemon_count):
            daemon = Daemon(self, number)
            await daemon.open()
            self.daemons.append(daemon)
            daemon.start()
        self.loop_task = asyncio.ensure_future(self.run())
        await self.wait_until_ready()

    def configure(self):
        self.version += 7
        self.store.put("op/config", json.dumps({
            "version": self.version, "limits": {},
            "routes": [{"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": "desk", "max_attempts": 4, "stretch": 2.2,
                        "target_latency_ms": 1000, **fields} for name, fields in self.routes.items()],
            "services": [{"name": "desk", "max_connections": 64, "preconditions": False}],
            "tenants": [{"name": "workshop", "api_keys": [KEY], "weight": 1000, "upper_limit": {"cpu": 0, "mem_mb": 0, "gpu": 0}, **self.tenant}]}))

    async def run(self):
        while True:
            now = time.monotonic()
            for worker in self.workers:
                worker.tick(now)
            if self.store.mode != "down":
                self.store.expire()
            for daemon in self.daemons:
                daemon.supervise()
            await asyncio.sleep(0.01)

    async def wait_until_ready(self):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            answers = [await Channel((daemon.ip, self.ports[1])).call("GET", "/readiness", seconds=1.0) for daemon in self.daemons]
            if all(answer and answer[0] == 200 for answer in answers):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the daemons did not become ready")

    def owner(self):
        """The daemon whose ownership the store holds; None if there is none."""
        item = self.store.items.get("heatherchute/cell/owner")
        name = json.loads(base64.b64decode(item["value"]))["daemon"] if item else None
        return next((daemon for daemon in self.daemons if daemon.name == name), None)

    async def call(self, method, path, body=None, daemon=None):
        """One call of a client; (status, object), or None without a whole answer."""
        if daemon is None:
            daemon = self.daemons[self.next_daemon % len(self.daemons)]
            self.next_daemon += 1
        channel = Channel((daemon.ip, self.ports[0]))
        headers = {"Host": HOST, "Authorization": "Token " + KEY, "X-Request-Deadline": str(int(PATIENCE_S * 1000))}
        data = json.dumps(body).encode() if body is not None else b""
        answer = await channel.call(method, path, data, headers, PATIENCE_S)
        channel.close()
        self.record.note(f"{method} {path} at {daemon.name}: {answer[0] if answer else 'no answer'} {answer[2].decode().strip() if answer else ''}")
        self.retry_after = float(answer[1].get("retry-after", 0.5)) if answer else 0.5
        return (answer[0], json.loads(answer[2] or b"{}")) if answer else None

    async def submit(self, queue, job_id, steps, **fields):
        """Hands a job in until it is accepted; its steps are [{"count", "cpu", "mem_mb", "run_ms", ...}]."""
        spec = json.dumps({"steps": [{"run_ms": step.get("run_ms", 0), "cpu": step["cpu"], "mem_mb": step["mem_mb"],
                                      "gang": step["count"] if step.get("gang") else 0, "label": step.get("label", ""),
                                      "lasts": step.get("lasts", False)} for step in steps]})
        rows = []
        for step in steps:
            row = {"count": step["count"], "cpu": step["cpu"], "mem_mb": step["mem_mb"], "estimate_ms": step.get("run_ms", 0),
                   "gang": step.get("gang", False), "requirements": step.get("label", ""), "long_running": step.get("lasts", False),
                   "anti_affinity": step.get("apart", 0), "after": step.get("after", [])}
            rows.append({name: value for name, value in row.items() if value})
        for _ in range(5):
            answer = await self.call("POST", f"/{queue}/{job_id}", {"spec": spec, "steps": rows, **fields})
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(self.retry_after)
        return False

    async def close(self, keep):
        if self.loop_task:
            self.loop_task.cancel()
        for daemon in self.daemons:
            daemon.stop()
        if keep:
            print("logs: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play):
    """Runs `play(record, has_trouble)`, which returns nothing; exits with 1 if it noted a broken rule, 0 if none, 2 if it could not run."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {has_trouble}")
    try:
        asyncio.run(asyncio.wait_for(play(record, has_trouble), 115))
    except Exception as failure:  # noqa: BLE001: whatever it is, the case could not run
        record.note(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}")
        sys.exit(2)
    finally:
        record.file.flush()
    print(f"{len(record.broken)} times broken" + "".join("\n" + text for text in record.broken[:5]))
    sys.exit(1 if record.broken else 0)

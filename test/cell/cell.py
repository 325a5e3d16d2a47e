"""One deployment on loopback: the platform's stand-ins in this process, daemons as processes."""

import asyncio
import base64
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from loopback import HttpServer, Link, Proxy
from store import Store
from vms import Advice, Gangs, Vm

# Bounds that the daemons' settings state, in seconds.
GRACE_S = 6.0
EVACUATE_S = 5.0
STATUS_S = 120

# A VM that has been silent for so long leaves the registry.
REGISTRY_S = 3.0

# Queues by priority; the teams' upper limits bind the last one only.
QUEUES = {"urgent": 0, "medium": 1, "large": 2}
MAX_ATTEMPTS = 4
TEAMS = {"blue": 0, "green": 0, "red": 12000}


def end_with_parent():
    """A soak that is killed leaves no daemon behind."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def encode_text(text):
    """A CBOR text string; enough of CBOR for stored jobs."""
    data = text.encode()
    head = bytes([0x60 + len(data)]) if len(data) < 24 else bytes([0x78, len(data)]) if len(data) < 256 else b"\x79" + len(data).to_bytes(2, "big")
    return head + data


def encode_ended_job():
    """The stored progress of a completed job. The daemon ignores the padding, which gives it the size of larger records."""
    fields = [("phase", b"\x02"), ("queue", encode_text("urgent")), ("team", encode_text("blue")), ("submitted", b"\xf5"),
              ("padding", encode_text("x" * 600))]
    return bytes([0xa0 + len(fields)]) + b"".join(encode_text(name) + value for name, value in fields)


class Daemon:
    """One process with proxies on its paths: callers, peers and store."""

    def __init__(self, cell, name, zone, link_mbps=0.0):
        self.cell = cell
        self.name = name
        self.zone = zone
        self.link_mbps = link_mbps
        self.process = None
        link = Link(link_mbps) if link_mbps else None
        # The port for peers is behind a proxy, so the daemons tell each other the proxy's address.
        self.peers = Proxy(("127.0.0.1", cell.take_port()), link)
        self.callers = Proxy(("127.0.0.1", cell.take_port()), link)
        self.store = Proxy(("127.0.0.1", cell.store_server.port), link)
        self.advice_server = HttpServer(Advice(cell.vms).handle)
        self.readiness = ("127.0.0.1", cell.take_port())
        self.planned_stop = None
        self.exit_codes = []

    async def open(self):
        for server in (self.peers, self.callers, self.store, self.advice_server):
            await server.open()
        settings = {
            "mode": "cell", "name": self.name, "failure_domain": self.zone,
            "listen_callers": "127.0.0.1:%d" % self.callers.target[1], "listen_readiness": "127.0.0.1:%d" % self.readiness[1],
            "listen_peers": "127.0.0.1:%d" % self.peers.target[1], "advertise_peers": f"127.0.0.1:{self.peers.port}",
            "store": f"127.0.0.1:{self.store.port}",
            "advice": f"127.0.0.1:{self.advice_server.port}",
            "shortest_store_lease_ms": 1000, "longest_vm_lease_ms": 10000, "grace_s": GRACE_S, "job_retention_s": STATUS_S,
            "processor_share": 1.0, "link_mbps": self.link_mbps,
            "evacuate_ms": int(EVACUATE_S * 1000)}
        with open(self.path("json"), "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def path(self, suffix):
        return os.path.join(self.cell.folder, f"{self.name}.{suffix}")

    def start(self):
        self.planned_stop = None
        with open(self.path("log"), "a", encoding="utf-8") as log:
            command = [os.path.join(self.cell.build, "tools", "heatherchuted"), "--settings", self.path("json")]
            self.process = subprocess.Popen(command, stdout=log, stderr=log, preexec_fn=end_with_parent)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)

    def terminate(self):
        self.planned_stop = time.monotonic()
        self.signal(signal.SIGTERM)

    def supervise(self):
        """Starts the process again when it has ended; by itself it must not."""
        if self.process is None or self.process.poll() is None:
            if self.planned_stop and time.monotonic() > self.planned_stop + GRACE_S:
                self.kill()
            return
        code = self.process.returncode
        if code not in (-signal.SIGKILL, 0) or (code == 0 and not self.planned_stop):
            self.exit_codes.append(code)
        self.start()


class Cell:
    def __init__(self, build, record, seed, daemons=6, vms=12, stored_jobs=0, link_mbps=0.0, fast_daemons=0):
        self.build = build
        self.record = record
        self.seed = seed
        self.counts = (daemons, vms)
        self.stored_jobs = stored_jobs
        # Bandwidth of the daemons' links but for the first ones, which have more; zero for no limit.
        self.link_mbps = link_mbps
        self.fast_daemons = fast_daemons
        self.folder = tempfile.mkdtemp(prefix="heatherchute-cell-")
        self.store = Store(seed)
        self.store_server = HttpServer(self.store.handle)
        self.gangs = Gangs()
        self.vms = {}
        self.vm_proxies = {}
        self.daemons = {}
        self.version = 0
        self.tasks = []
        self.port_holders = []
        # Keys by team, and routes; both change with the operator's versions.
        self.keys = {team: "key-" + team for team in TEAMS}
        self.routes = dict(QUEUES)

    def take_port(self):
        """A port that only a listener bound to it by number gets, also between two runs of its daemon."""
        holder = socket.socket()
        # Both sockets with this option may be bound at once, as only the other one listens.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        self.port_holders.append(holder)
        return holder.getsockname()[1]

    async def open(self):
        daemons, vms = self.counts
        await self.store_server.open()
        zones = ["zone-a", "zone-b", "zone-c"]
        for number in range(vms):
            vm = Vm(f"i-{number:04d}", zones[number % 3], f"r{number % 3}-{number // 6}", self.store, self.gangs, self.record,
                    self.seed * 1000 + number, {"cpu": 8000, "mem_mb": 16384, "gpu": 0})
            server = HttpServer(vm.handle)
            await server.open()
            proxy = Proxy(("127.0.0.1", server.port))
            await proxy.open()
            vm.address = f"127.0.0.1:{proxy.port}"
            self.vms[vm.id] = vm
            self.vm_proxies[vm.id] = proxy
            vm.come_back()
        self.configure()
        if self.stored_jobs:
            self.store.page_items = 500
            value = base64.b64encode(encode_ended_job()).decode()
            for number in range(self.stored_jobs):
                self.store.revision += 1
                self.store.write(f"heatherchute/progress/{number:016x}", value, 0)
        for number in range(daemons):
            daemon = Daemon(self, f"daemon-{number}", zones[number % 3], self.link_mbps if number >= self.fast_daemons else 0.0)
            await daemon.open()
            self.daemons[daemon.name] = daemon
            daemon.start()
        self.tasks = [asyncio.ensure_future(self.run())]

    def configure(self):
        """Writes the operator's next version."""
        self.version += 1
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": [{"name": name, "host": "cell.example", "path_prefix": f"/{name}/", "service": "workers", "priority": priority,
                        "max_attempts": MAX_ATTEMPTS, "stretch": 2.0, "target_latency_ms": 1000,
                        "hint": {"decide_ms": 5.0, "per_worker_ms": 0.2, "validity_ms": 1500}}
                       for name, priority in self.routes.items()],
            "services": [{"name": "workers", "max_connections": 64, "preconditions": False}],
            "tenants": [{"name": team, "api_keys": [key], "weight": 20, "upper_limit": {"cpu": TEAMS[team], "mem_mb": 0, "gpu": 0}}
                        for team, key in self.keys.items()], "limits": {}}))
        self.record.configured(self)

    async def run(self):
        """What goes on by itself: VMs work and report, leases end, processes are started again."""
        report_at = 0.0
        while True:
            now = time.monotonic()
            for vm in self.vms.values():
                vm.tick(now)
                if not vm.up and now > vm.down_since + REGISTRY_S:
                    self.store.delete("servers/" + vm.id)
            if self.store.mode != "down":
                self.store.expire()
            if now >= report_at:
                report_at = now + 1.0
                for vm in self.vms.values():
                    if vm.up and self.store.mode == "up":
                        vm.report()
            for daemon in self.daemons.values():
                daemon.supervise()
            await asyncio.sleep(0.01)

    def owner(self):
        """The daemon that the owner's record names; None when there is no record."""
        item = self.store.items.get("heatherchute/cell/owner")
        return self.daemons.get(json.loads(base64.b64decode(item["value"]))["daemon"]) if item else None

    def evacuate(self, zone):
        self.store.put("op/evacuate/" + zone, "{}")
        self.record.evacuated(zone)

    def take_back(self, zone):
        self.store.delete("op/evacuate/" + zone)
        self.record.taken_back(zone)

    def heal(self):
        """Ends every fault that lasts."""
        for zone in list(self.record.evacuations):
            self.take_back(zone)
        self.store.mode, self.store.lost, self.store.delay = "up", 0.0, 0.0
        for daemon in self.daemons.values():
            daemon.thaw()
            for proxy in (daemon.peers, daemon.callers, daemon.store):
                proxy.heal()
        for vm in self.vms.values():
            vm.lost, vm.mute, vm.fails_all = 0.0, 0.0, False
            self.vm_proxies[vm.id].heal()
            if not vm.up:
                vm.come_back()

    async def close(self, keep):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons.values():
            daemon.thaw()
            daemon.kill()
            daemon.process.wait()
        for holder in self.port_holders:
            holder.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

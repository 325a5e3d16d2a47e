"""Starts a small cluster of real processes on loopback and reads the stand-ins' records."""

import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

OPERATOR_KEY = "operator-key-of-a-test-cluster"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Reply:
    """One HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


PORTS_IN_BLOCK = 256


class PortBlock:
    """A block of ports below the ephemeral ones. A bound UDP socket keeps other runs off it."""

    def __init__(self):
        for base in range(10240, 32000, PORTS_IN_BLOCK):
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                lock.bind(("127.0.0.1", base))
            except OSError:
                lock.close()
                continue
            self.lock = lock
            self.free = list(range(base + 1, base + PORTS_IN_BLOCK))
            return
        raise RuntimeError("no block of ports is free")

    def take(self):
        while True:
            port = self.free.pop(0)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue

    def close(self):
        self.lock.close()


def call(address, method, path, body=None, headers=None, timeout=30):
    """One HTTP call. Raises OSError when there is no whole answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        if isinstance(body, str):
            body = body.encode()
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Reply(response.status, response.headers, response.read().decode())
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def wait_until(what, condition, seconds=30, interval=0.05):
    """Waits for a condition, not for a time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(interval)
    raise AssertionError(f"not reached in {seconds} s: {what}")


class Cluster:
    """The platform's stand-ins, endpoints and daemons of one deployment."""

    def __init__(self, build, config="kral", daemons_per_domain=2, vms_per_domain=4, slots=8, cpus=8, memory_mb=32768,
                 accelerators=1, lag_ms=1000, keep=False):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="heatherchute-")
        self.keep = keep
        self.processes = {}
        self.frozen = set()
        self.config_path = os.path.join(ROOT, "config", config + ".json")
        with open(self.config_path, encoding="utf-8") as file:
            self.config_text = file.read()
        lines = [line for line in self.config_text.splitlines() if not line.strip().startswith("//")]
        self.config = json.loads("\n".join(lines))
        self.domains = self.config["failure_domains"]
        self.services = [service["name"] for service in self.config["services"]]
        self.keys = {}
        self.daemon_domain = {}
        self.http = {}
        self.peer = {}
        names = [f"{domain}-{index}" for domain in self.domains for index in range(daemons_per_domain)]
        self.ports = PortBlock()
        take = lambda: f"127.0.0.1:{self.ports.take()}"
        self.store, self.vm_list = take(), take()
        for name in names:
            self.http[name], self.peer[name] = take(), take()
            self.daemon_domain[name] = name.rsplit("-", 1)[0]
        self.vms = []
        for domain in self.domains:
            for index in range(vms_per_domain):
                self.vms.append({
                    "id": f"{domain}-vm{index}", "address": take(), "serviceAddress": take(), "failureDomain": domain,
                    "rack": f"{domain}-r{index // 2}", "slots": slots, "services": self.services, "leaving": False,
                    "capacity": {"cpus": cpus, "memoryMb": memory_mb, "accelerators": accelerators}})
        self.vm = {vm["id"]: vm for vm in self.vms}
        self.lag_ms = lag_ms
        self.write("vms.json", self.vms)

    # Processes.

    def write(self, name, value):
        with open(self.path(name), "w", encoding="utf-8") as file:
            json.dump(value, file)

    def path(self, name):
        return os.path.join(self.folder, name)

    def spawn(self, name, program, *arguments):
        log = open(self.path(name + ".log"), "a", encoding="utf-8")
        command = [os.path.join(self.build, "tools", program), *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=self.folder)
        log.close()

    def start_platform(self):
        self.spawn("store", "heatherchute-standin-store", "--listen", self.store, "--record", self.path("store.rec"))
        self.spawn("vmlist", "heatherchute-standin-vmlist", "--listen", self.vm_list, "--record", self.path("vmlist.rec"),
                   "--vms", self.path("vms.json"), "--lag-ms", str(self.lag_ms))
        for domain in self.domains:
            self.spawn("endpoints-" + domain, "heatherchute-standin-endpoint", "--record", self.path(f"endpoints-{domain}.rec"),
                       "--vms", self.path("vms.json"), "--failure-domain", domain)

    def start_daemon(self, name):
        import hashlib
        settings = {
            "name": name, "failure_domain": self.daemon_domain[name], "listen_http": self.http[name], "listen_peer": self.peer[name],
            "store": self.store, "vm_list": self.vm_list, "seeds": sorted(self.peer.values())[:4], "test_points": True,
            "operator_key_digest": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()}
        self.write(name + ".json", settings)
        self.spawn(name, "heatherchuted", "--settings", self.path(name + ".json"))

    def start(self):
        """Starts everything, puts the configuration and grants one key to each team."""
        self.start_platform()
        for name in self.http:
            self.start_daemon(name)
        for name in self.http:
            self.wait_listening(name)
        first = sorted(self.http)[0]
        wait_until("the first configuration", lambda: self.put_config(first, self.config_text).status == 200)
        for team in self.config["teams"]:
            self.grant_key(first, team["name"] + "-key", team["name"])
        for name in self.http:
            wait_until(f"{name} ready", lambda: self.is_ready(name))
        self.wait_settled()
        return self

    def wait_listening(self, name):
        def listening():
            try:
                return call(self.http[name], "GET", "/healthz").status == 200
            except OSError:
                return False
        wait_until(f"{name} listening", listening)

    def is_ready(self, name):
        try:
            return call(self.http[name], "GET", "/readyz").status == 200
        except OSError:
            return False

    def live(self):
        return [name for name in self.http if name in self.processes and name not in self.frozen]

    def wait_settled(self, seconds=60):
        """Waits until every VM has an owner and every shard a home."""
        def settled():
            vms = set()
            shards = set()
            for name in self.live():
                status = self.operate(name, "GET", "/v1/status")
                if status.status != 200:
                    return False
                shards |= {home["shard"] for home in status.json()["homes"]}
            listed = self.operate(self.live()[0], "GET", "/v1/vms").json()
            vms = {item["vm"] for item in listed["items"]}
            return len(vms) == len(self.vms) and len(shards) == 4 * len(self.domains)
        wait_until("all VMs owned and all shards at home", settled, seconds, 0.2)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.frozen.discard(name)

    def terminate(self, name, seconds=40):
        """Asks a daemon to stop and returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(seconds)

    def freeze(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.frozen.add(name)

    def thaw(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.frozen.discard(name)

    def stop(self):
        for name in list(self.frozen):
            self.thaw(name)
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}
        self.ports.close()
        if not self.keep:
            import shutil
            shutil.rmtree(self.folder, ignore_errors=True)

    # Calls.

    def operate(self, name, method, path, body=None, headers=None, timeout=30):
        headers = {"Authorization": "Bearer " + OPERATOR_KEY, **(headers or {})}
        try:
            return call(self.http[name], method, path, body, headers, timeout)
        except OSError as error:
            return Reply(0, {}, str(error))

    def request(self, name, method, path, body=None, team=None, headers=None, timeout=30):
        headers = dict(headers or {})
        if team:
            headers["Authorization"] = "Bearer " + self.keys.get(team, team)
        try:
            return call(self.http[name], method, path, body, headers, timeout)
        except OSError as error:
            return Reply(0, {}, str(error))

    def put_config(self, name, text):
        current = self.operate(name, "GET", "/v1/config")
        if current.status != 200:
            return current
        return self.operate(name, "PUT", "/v1/config", text, {"If-Match": current.headers["ETag"]})

    def grant_key(self, name, key, team):
        reply = wait_until(f"grant of {key}", lambda: self.granted(name, key, team))
        self.keys[team] = reply.json()["key"]

    def granted(self, name, key, team):
        reply = self.operate(name, "POST", "/v1/keys", {"name": key, "team": team})
        return reply if reply.status == 200 else None

    def submit(self, name, queue, team, work, **fields):
        body = {"work": json.dumps(work), **fields}
        return self.request(name, "POST", f"/v1/queues/{queue}/jobs", body, team)

    def job(self, job, team=None):
        """A job's state, asked of any daemon that answers."""
        for name in self.live():
            reply = self.operate(name, "GET", "/v1/jobs/" + job)
            if reply.status == 200:
                return reply.json()
        return None

    def wait_job(self, job, state="succeeded", seconds=60):
        def reached():
            found = self.job(job)
            return found if found and found["state"] == state else None
        return wait_until(f"job {job} {state}", reached, seconds, 0.1)

    def cut(self, *groups, platform=()):
        """Cuts groups of daemons off from each other. Daemons in `platform` cannot reach the platform."""
        sides = {name: index for index, group in enumerate(groups) for name in group}
        for name in self.live():
            others = [other for other in self.http if other != name and sides.get(other, -1) != sides.get(name, -1)]
            self.operate(name, "POST", "/test/cut", {"daemons": others, "platform": name in platform})

    def heal(self):
        for name in self.live():
            self.operate(name, "POST", "/test/cut", {"daemons": [], "platform": False})

    def domain(self, domain):
        return [name for name in self.http if self.daemon_domain[name] == domain]

    def store_mode(self, **mode):
        call(self.store, "POST", "/standin/mode", mode)

    def vm_mode(self, vm, **mode):
        call(self.vm[vm]["address"], "POST", "/standin/mode", mode)

    def vm_restart(self, vm):
        call(self.vm[vm]["address"], "POST", "/standin/restart", {})

    # Records.

    def records(self, prefix="endpoints-"):
        events = []
        for name in sorted(os.listdir(self.folder)):
            if not (name.startswith(prefix) and name.endswith(".rec")):
                continue
            with open(self.path(name), encoding="utf-8") as file:
                events += [json.loads(line) for line in file if line.endswith("\n")]
        return sorted(events, key=lambda event: event["t"])

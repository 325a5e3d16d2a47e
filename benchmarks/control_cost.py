#!/usr/bin/env python3
"""What one idle daemon spends on control with more and more VMs: processor, memory, bytes, store calls.

Light stand-ins hold all VMs in one process. Bytes are those of the loopback interface, with the
headers of TCP and IP, so nothing else may use it meanwhile.
"""

import argparse
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test", "harness"))

from cluster import Cluster, PortBlock, call, wait_until


def loopback_bytes():
    with open("/proc/net/dev", encoding="ascii") as file:
        for line in file:
            if line.strip().startswith("lo:"):
                return int(line.split(":")[1].split()[0])
    raise RuntimeError("no loopback interface")


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def vms_with_addresses(domain, count):
    """VMs on 127.0.0.2 and up, one address each, so that ports do not run out."""
    vms = []
    for index in range(count):
        host = f"127.0.{1 + index // 250}.{2 + index % 250}"
        vms.append({"id": f"vm{index}", "address": f"{host}:7001", "serviceAddress": "", "failureDomain": domain, "rack": f"r{index // 8}", "slots": 0,
                    "services": [], "leaving": False, "capacity": {"cpus": 64, "memoryMb": 262144, "accelerators": 1}})
    return vms


def measure(build, count, seconds):
    cluster = Cluster(build, daemons_per_domain=1, vms_per_domain=0)
    try:
        domain = cluster.domains[0]
        cluster.vms = vms_with_addresses(domain, count)
        cluster.write("vms.json", cluster.vms)
        cluster.domains = [domain]
        name = cluster.domain(domain)[0]
        cluster.http = {name: cluster.http[name]}
        cluster.peer = {name: cluster.peer[name]}
        cluster.start_platform()
        cluster.start_daemon(name)
        cluster.wait_listening(name)
        wait_until("configuration", lambda: cluster.put_config(name, cluster.config_text).status == 200)
        wait_until("VMs owned", lambda: cluster.operate(name, "GET", "/v1/status").json()["vms_owned"] == count, 60, 0.5)
        time.sleep(12)
        pid = cluster.processes[name].pid
        before = (processor_seconds(pid), loopback_bytes(), sum(call(cluster.store, "GET", "/standin/counts").json().values()))
        time.sleep(seconds)
        after = (processor_seconds(pid), loopback_bytes(), sum(call(cluster.store, "GET", "/standin/counts").json().values()))
        return [(new - old) / seconds for old, new in zip(before, after)] + [memory_mb(pid)]
    finally:
        cluster.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--vms", type=int, nargs="+", default=[10, 50, 200, 800])
    arguments = parser.parse_args()
    print(f"{'VMs':>6} {'core %':>8} {'KB/s':>8} {'store calls/s':>14} {'MB':>6}")
    for count in arguments.vms:
        cpu, network, calls, memory = measure(os.path.abspath(arguments.build), count, arguments.seconds)
        print(f"{count:6} {cpu * 100:8.2f} {network / 1024:8.1f} {calls:14.2f} {memory:6.0f}", flush=True)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Time of a request straight to an endpoint and through daemons, in one run on one machine.

The naive baseline is no scheduler at all: the caller knows one endpoint and sends to it.
"""

import argparse
import http.client
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test", "harness"))

from cluster import Cluster


class Sender:
    """One caller with one kept-alive connection."""

    def __init__(self, address):
        host, port = address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port))

    def send(self, path):
        start = time.perf_counter()
        self.connection.request("GET", path)
        response = self.connection.getresponse()
        body = response.read()
        if response.status != 200:
            raise RuntimeError(body)
        return time.perf_counter() - start


def percentile(sorted_times, part):
    return sorted_times[min(len(sorted_times) - 1, int(len(sorted_times) * part))] * 1e6


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--requests", type=int, default=4000)
    arguments = parser.parse_args()
    cluster = Cluster(os.path.abspath(arguments.build)).start()
    try:
        endpoint = cluster.vms[0]["serviceAddress"]
        daemons = [cluster.http[name] for name in cluster.domain(cluster.domains[0])]
        ways = {"straight to an endpoint": (Sender(endpoint), "/p"), "through one daemon": (Sender(daemons[0]), "/v1/services/parts/p"),
                "through another daemon": (Sender(daemons[1]), "/v1/services/parts/p")}
        times = {name: [] for name in ways}
        for number in range(arguments.requests):
            for name, (sender, path) in ways.items():
                taken = sender.send(path)
                if number >= arguments.requests // 10:
                    times[name].append(taken)
        base = sorted(times["straight to an endpoint"])
        print(f"{'way':26} {'p50 us':>8} {'p99 us':>8} {'p50 ratio':>10} {'p99 ratio':>10}")
        for name, values in times.items():
            values.sort()
            p50, p99 = percentile(values, 0.5), percentile(values, 0.99)
            print(f"{name:26} {p50:8.0f} {p99:8.0f} {p50 / percentile(base, 0.5):10.2f} {p99 / percentile(base, 0.99):10.2f}")
    finally:
        cluster.stop()


if __name__ == "__main__":
    main()

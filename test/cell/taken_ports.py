#!/usr/bin/env python3
"""A daemon whose port is taken by another process ends with status 2 and names the address.

usage: taken_ports.py DAEMON [ROUNDS]
"""

import json
import socket
import subprocess
import sys
import tempfile

LISTENERS = ["listen_callers", "listen_readiness", "listen_peers", "listen_metrics"]


def taken_port():
    """A port with a listener, and the socket that keeps it."""
    holder = socket.socket()
    holder.bind(("127.0.0.1", 0))
    holder.listen()
    return holder, holder.getsockname()[1]


def start_with_taken(daemon, listener):
    """Status and standard error of a daemon for whose `listener` another process has the port."""
    holder, port = taken_port()
    # Nothing listens at the addresses of the store and the advice service: neither is asked before the start.
    settings = {"mode": "cell", "name": "a", "failure_domain": "z", "store": "127.0.0.1:1", "advice": "127.0.0.1:1",
                **{name: "127.0.0.1:0" for name in LISTENERS[:3]}, listener: f"127.0.0.1:{port}"}
    with holder, tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings, file)
        file.flush()
        ended = subprocess.run([daemon, "--settings", file.name], capture_output=True, text=True, timeout=20, check=False)
    return ended.returncode, ended.stderr, f"127.0.0.1:{port}"


def main():
    daemon = sys.argv[1]
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    failed = 0
    for listener in LISTENERS * rounds:
        status, text, address = start_with_taken(daemon, listener)
        if status != 2 or address not in text:
            failed += 1
            print(f"{listener} on {address}: status {status}, not 2, or no address in: {text.strip()[:300]}")
    print(f"{len(LISTENERS) * rounds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Time without a leader, on real figrack-control processes.

    bench/controlfailover.py build/cmd/figrack-control FOLDER [ROUNDS]

Starts three controls on the loopback with their data under FOLDER. Each round
kills (SIGKILL, then starts it anew) or stops (SIGSTOP, then SIGCONT) the leader
and polls the others' GET /v1/status every 2 ms until one says lease_held. One
line of key=value pairs a signal. It ends the processes it started.
"""

import http.client
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time

NAMES = ["c0", "c1", "c2"]
POLL = 0.002
SETTLE = 1.5  # Seconds between rounds, for the former leader to join again.


def free_ports(count):
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [server.getsockname()[1] for server in held]
    for server in held:
        server.close()
    return ports


class Group:
    def __init__(self, binary, folder):
        self.binary = binary
        self.folder = folder
        self.token = secrets.token_hex(32)
        ports = free_ports(6)
        self.peer_ports = dict(zip(NAMES, ports[:3]))
        self.operator_ports = dict(zip(NAMES, ports[3:]))
        self.processes = {}
        os.makedirs(folder, exist_ok=True)
        for name, secret in (("peer.keys", secrets.token_hex(32)), ("operator.tokens", self.token)):
            with open(os.path.join(folder, name), "w", encoding="ascii") as file:
                file.write(secret + "\n")
            os.chmod(os.path.join(folder, name), 0o600)

    def write_settings(self, name, found):
        members = ", ".join(f"{n}/d{n}@127.0.0.1:{p}" for n, p in self.peer_ports.items())
        operators = ", ".join(f"{n}@127.0.0.1:{p}" for n, p in self.operator_ports.items())
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w", encoding="ascii") as file:
            file.write(f"""[control]
name = {name}
domain = d{name}
data = {self.folder}/{name}
listen = 127.0.0.1:{self.peer_ports[name]}
members = {members}
found = {'true' if found else 'false'}
key_file = {self.folder}/peer.keys

[operator]
listen = 127.0.0.1:{self.operator_ports[name]}
addresses = {operators}
token_file = {self.folder}/operator.tokens

[store]
concurrency = 4
loads_per_minute = 180
""")
        return path

    def start(self, name, found):
        path = self.write_settings(name, found)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen([self.binary, "-c", path], stdout=log,
                                                    stderr=log)

    def status(self, name):
        connection = http.client.HTTPConnection("127.0.0.1", self.operator_ports[name],
                                                timeout=0.5)
        try:
            connection.request("GET", "/v1/status", headers={"Authorization":
                                                             "Bearer " + self.token})
            answer = connection.getresponse()
            body = answer.read()
            return json.loads(body) if answer.status == 200 else {}
        except (OSError, http.client.HTTPException):
            return {}
        finally:
            connection.close()

    def wait_for_leader(self, but=None):
        end = time.monotonic() + 30
        while time.monotonic() < end:
            for name in NAMES:
                if name != but and self.status(name).get("lease_held"):
                    return name
            time.sleep(POLL)
        raise SystemExit("no leader within 30 s")

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def measure(group, kind, rounds):
    samples = []
    for _ in range(rounds):
        leader = group.wait_for_leader()
        process = group.processes[leader]
        begin = time.monotonic()
        process.send_signal(kind)
        group.wait_for_leader(but=leader)
        samples.append((time.monotonic() - begin) * 1e3)
        if kind == signal.SIGSTOP:
            process.send_signal(signal.SIGCONT)
        else:
            process.wait()
            group.start(leader, False)
        time.sleep(SETTLE)
    samples.sort()
    at = lambda share: samples[int(share * (len(samples) - 1))]
    print(f"measure=control_failover signal={kind.name} rounds={rounds} p50_ms={at(0.5):.0f} "
          f"p99_ms={at(0.99):.0f} max_ms={samples[-1]:.0f} load={os.getloadavg()[0]:.1f}",
          flush=True)


def main():
    binary, folder = sys.argv[1], os.path.abspath(sys.argv[2])
    rounds = int(sys.argv[3]) if len(sys.argv) > 3 else 50
    group = Group(binary, folder)
    try:
        for name in NAMES:
            group.start(name, True)
        group.wait_for_leader()
        for kind in (signal.SIGKILL, signal.SIGSTOP):
            measure(group, kind, rounds)
    finally:
        group.stop()


if __name__ == "__main__":
    main()

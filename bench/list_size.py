"""What the size of a fleet costs one instance of the platform's program: start, memory, news of the list."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from statistics import median
from typing import Any

from bench.rig import Rig, cpu, memory
from lynxreel.local.deployment import HOST
from tests.test_process import NAMED

SIZES = (50, 230, 1_024)
CHANGES = 40  # lists told in a row, each of half of the servers


def _entries(size: int, lifecycle: str) -> list[dict[str, Any]]:
    return [
        {"instanceId": f"s-{n:08x}", "hostPort": f"127.0.{n // 250}.{n % 250 + 1}:9", "zone": "a",
         "cell": n % 7, "machineType": "m", "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}
        for n in range(size)
    ]  # fmt: skip


def _chunk(generation: int, entries: list[dict[str, Any]], indent: int | None) -> bytes:
    told = {"generation": generation, "reset": False, "instances": entries}
    text = json.dumps(told, indent=indent).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


def _play(rig: Rig, size: int, indent: int | None) -> tuple[float, float, float, float]:
    """Seconds from start to ready, MB when ready and after the changes, and seconds of CPU for one change."""
    with socket.create_server((HOST, 0)) as discovery, socket.create_server((HOST, 0)) as free:
        listen = f"{HOST}:{free.getsockname()[1]}"
        free.close()
        peers = [f"127.94.{n // 250}.{n % 250 + 1}:7946" for n in range(size)]
        settings = {**NAMED, "fleetSize": size, "extra": {}, "limits": {**NAMED["limits"], "peers": True}}
        path = rig.folder / f"{size}-{indent}.json"
        path.write_text(json.dumps({
            "name": "n0", "listen": listen, "discovery": f"{HOST}:{discovery.getsockname()[1]}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "seed": "8c1f",
            "peers": peers, "peer_listen": peers[0],
            "known": {"generation": 1, "reset": True, "instances": _entries(size, "SERVING")},
            "settings": settings,
        }))  # fmt: skip
        began = time.monotonic()
        env = {**os.environ, "EDGE_CONFIG": str(path)}
        process = subprocess.Popen([sys.executable, "-m", "lynxreel"], env=env)
        rig.callback(process.kill)
        watch, _ = discovery.accept()
        watch.recv(4096)
        watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        host, port = listen.split(":")
        while True:
            try:
                client = socket.create_connection((host, int(port)))
                break
            except ConnectionRefusedError:
                time.sleep(0.002)
        ready = time.monotonic() - began
        fresh, used = memory(process.pid), cpu(process.pid)
        half = size // 2
        for number in range(CHANGES):
            told = _entries(half, "DRAINING" if number % 2 == 0 else "SERVING")
            watch.sendall(_chunk(number + 2, told, indent))
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        client.recv(64)
        before = -1.0
        while before != (before := cpu(process.pid)):  # until it has read them all
            time.sleep(0.2)
        after = memory(process.pid)
        process.kill()
        process.wait()
        return ready, fresh, after, (before - used) / CHANGES


def measure(rounds: int) -> None:
    """Each round a new process of each size, as many gateways as servers."""
    print(f"list_size: {rounds} rounds, medians; a change is of half of the servers")
    with Rig() as rig:
        for size in SIZES:
            for indent in (None, 2):
                played = [_play(rig, size, indent) for _ in range(rounds)]
                ready, fresh, after, change = (median(column) for column in zip(*played, strict=True))
                how = "indented" if indent else "in lines"
                print(f"  {size:>5} {how}: start {ready * 1e3:.0f} ms, memory {fresh:.1f} and", end=" ")
                print(f"{after:.1f} MB, a change {change * 1e3:.1f} ms of CPU")

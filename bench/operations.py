"""Calls of operators' staff: how long an answer takes, idle and under load, and how long a drain takes."""

from __future__ import annotations

import socket
import threading
import time
from pathlib import Path

from bench.rig import Rig, load
from lynxreel.local.deployment import HOST
from lynxreel.protocol.address import Address, read_address

CALLS, PAUSE, SECONDS, CLIENTS = 400, 0.005, 5.0, 64
ESTABLISHED = "01"


def _call(address: Address, word: bytes) -> float:
    began = time.monotonic()
    with socket.create_connection(address) as caller:
        caller.sendall(word + b"\n")
        assert caller.makefile("rb").readline().startswith((b"+OK", b"-ERR"))
    return time.monotonic() - began


def _spans(address: Address) -> list[float]:
    spans = []
    for _ in range(CALLS):
        spans.append(_call(address, b"READY"))
        time.sleep(PAUSE)
    return sorted(spans)


def _told(name: str, spans: list[float]) -> None:
    figures = "".join(f"{spans[int(part * (len(spans) - 1))] * 1e3:>9.2f}" for part in (0.5, 0.9, 0.99, 1.0))
    print(f"{name:<24}{figures}")


def _clients(pid: int, address: str) -> int:
    """Connections of clients that a process holds open."""
    port = f":{read_address(address)[1]:04X}"
    lines = [line.split() for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]]
    return sum(line[1].endswith(port) and line[3] == ESTABLISHED for line in lines)


def measure(rounds: int) -> None:
    """One daemon; the load is as much as one core gives."""
    with Rig() as rig:
        with socket.create_server((HOST, 0)) as free:
            operators = f"{HOST}:{free.getsockname()[1]}"
        peers = rig.peers(4)
        process, address, _ = rig.gateway(peers, more=f'[operations]\nlisten = "{operators}"')
        desk = read_address(operators)
        print(f"{'an answer, ms':<24}{'median':>9}{'90%':>9}{'99%':>9}{'most':>9}")
        _told("idle", _spans(desk))
        running = threading.Thread(target=load, args=(SECONDS, CLIENTS, [address]))
        running.start()
        time.sleep(1.0)
        _told(f"{CLIENTS} clients, full load", _spans(desk))
        silent = [socket.create_connection(desk) for _ in range(50)]
        _told("beside silent callers", _spans(desk)[:CALLS])
        running.join()
        for caller in silent:
            caller.close()
        idle = [socket.create_connection(read_address(address)) for _ in range(CLIENTS)]
        for client in idle:
            client.sendall(b"*1\r\n$4\r\nPING\r\n")
            client.recv(64)
        began = time.monotonic()
        _call(desk, b"DRAIN")
        while _clients(process.pid, address):
            time.sleep(0.002)
        print(f"from DRAIN until {CLIENTS} idle connections have ended: {time.monotonic() - began:.2f} s")
        began = time.monotonic()
        _call(desk, b"UNDRAIN")
        with socket.create_connection(read_address(address)) as front:
            front.sendall(b"*1\r\n$4\r\nPING\r\n")
            assert front.recv(64) == b"+PONG\r\n"
        print(f"from UNDRAIN to a yes: {(time.monotonic() - began) * 1e3:.1f} ms")

"""A hundred new versions of the platform's program, each beside the running one, while clients connect."""

from __future__ import annotations

import json
import signal
import socket
import tempfile
import time
from pathlib import Path
from statistics import median

from tests.test_operations import ask
from tests.test_process import GATEWAY, config, free_port, start
from tests.test_upgrade import PingClient, wait_until_ready

UPGRADES = 100


def measure(rounds: int) -> None:
    """Connects, those that were refused, reset or not answered, and how long each step took."""
    any_port = ("127.0.0.1", 0)
    with (
        tempfile.TemporaryDirectory(prefix="lynxreel-bench-") as folder,
        socket.create_server(any_port) as discovery,
        socket.create_server(any_port) as counter,
        socket.create_server((GATEWAY, 0), backlog=1024) as platforms,
    ):
        ports = discovery.getsockname()[1], counter.getsockname()[1], platforms.getsockname()[1]
        given, ready, ended = config(*ports), list[float](), list[float]()
        old, pings = None, PingClient(ports[2])
        try:
            for _ in range(UPGRADES + 1):
                operator, began = free_port(), time.monotonic()
                text = json.dumps({**given, "operator": f"{GATEWAY}:{operator}"})
                new = start(Path(folder), text, platforms)
                wait_until_ready(new, operator)
                ready.append(time.monotonic() - began)
                pings.more(20)
                if old is not None:
                    began = time.monotonic()
                    old.send_signal(signal.SIGTERM)
                    assert old.wait(30) == 0
                    ended.append(time.monotonic() - began)
                old = new
            assert ask(operator, b"READY").startswith(b"+OK")
        finally:
            pings.end()
            if old is not None:
                old.kill()
                old.wait()
    print(f"upgrades: {UPGRADES}; connects with a ping: {pings.fine}, gone wrong: {len(pings.wrong)}")
    print(f"ready after {median(ready):.2f} s (at most {max(ready):.2f}); ", end="")
    print(f"the old one ended after {median(ended):.2f} s (at most {max(ended):.2f})")

"""systemd's notify protocol (sd_notify(3)): datagrams to the socket that NOTIFY_SOCKET names."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Mapping
from contextlib import suppress


class Notifier:
    """Tells a service manager, where there is one; it never fails the instance."""

    def __init__(self, environment: Mapping[str, str] = os.environ) -> None:
        path = environment.get("NOTIFY_SOCKET", "")
        self._path = "\0" + path[1:] if path.startswith("@") else path
        self.watchdog = self._watchdog(environment)

    @staticmethod
    def _watchdog(environment: Mapping[str, str]) -> float | None:
        """Seconds between signs of life: half of what the manager waits, as its manual advises."""
        if environment.get("WATCHDOG_PID", str(os.getpid())) != str(os.getpid()):
            return None  # meant for another process
        given = environment.get("WATCHDOG_USEC", "")
        return int(given) / 2e6 if given.isdigit() and int(given) > 0 else None

    def ready(self, status: str) -> None:
        """Started, or a reload is over."""
        self._send(f"READY=1\nSTATUS={status}")

    def taken_over(self) -> None:
        """This process is the service from now on, though the manager started another one."""
        self._send(f"MAINPID={os.getpid()}\nREADY=1")

    def reloading(self) -> None:
        """A reload has begun; with its time, as Type=notify-reload wants it."""
        self._send(f"RELOADING=1\nMONOTONIC_USEC={time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1000}")

    def stopping(self, status: str) -> None:
        """A stop or a drain has begun."""
        self._send(f"STOPPING=1\nSTATUS={status}")

    def alive(self) -> None:
        """The loop turns."""
        self._send("WATCHDOG=1")

    def _send(self, text: str) -> None:
        if not self._path:
            return
        with suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as out:
            out.setblocking(False)  # a manager that does not read must not stop the loop
            out.sendto(text.encode(), self._path)

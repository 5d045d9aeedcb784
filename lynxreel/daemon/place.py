"""An instance's folder: the lock that keeps a second one out, and the state file that tools read."""

from __future__ import annotations

import fcntl
import json
import os
from contextlib import suppress
from pathlib import Path
from typing import Any


class Taken(Exception):
    """Another instance holds the place."""


class Place:
    """The folder of one instance. The lock goes with the process, however it ends."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.queries = self.folder / "queries.sock"
        self.handover = self.folder / "handover.sock"
        self.lock: int | None = None  # its descriptor

    def take(self) -> None:
        """Lock the folder, making it if there is none. Raises Taken, or an OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise Taken(f"{self.folder}: another instance runs here") from None
        self.lock = lock

    def adopt(self, lock: int) -> None:
        """Hold the lock by a copy of its holder's descriptor: it is held until both have ended."""
        self.lock = lock

    def held(self) -> bool:
        """Whether an instance runs here, whatever the state file says."""
        try:
            lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(lock)
        return False

    def write(self, state: dict[str, Any]) -> None:
        """Replace the state file at one stroke: a reader sees the old one or the new one."""
        new = self.folder / "state.json.new"
        new.write_text(json.dumps(state) + "\n")
        os.replace(new, self.folder / "state.json")

    def read(self) -> dict[str, Any]:
        """The state as it was last written; nothing where there is none."""
        with suppress(OSError, ValueError):
            state = json.loads((self.folder / "state.json").read_text())
            if isinstance(state, dict):
                return state
        return {}

    def instances(self) -> list[Place]:
        """The folders of the instances that run here: this one, or those of its workers."""
        workers = self.read().get("workers")
        if not isinstance(workers, list):
            return [self]
        return [Place(worker["folder"]) for worker in workers if "folder" in worker]

    def leave(self) -> None:
        """Give the lock back."""
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

"""The clock that a machine's instances go by, remembered over restarts.

Windows of quotas and ages of servers are told by the wall clock at a start. Where that clock is stepped while
the machine runs, an instance that starts again would go by another time than those that run on, and its
customers would have a second quota. So the distance between the wall clock and the boot clock, which nothing
steps, is kept in the state folder, with the id of the boot that it belongs to.
"""

from __future__ import annotations

import json
import os
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from lynxreel.engine.engine import Clock
from lynxreel.log import log

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
FILE_NAME = "clock.json"
STEP_LEAST_NS = 500_000_000  # smaller differences are followed: windows last a second or more
READINGS = 5  # of both clocks; the process may be held up between the two


class BadMemory(Exception):
    """The file is there and can't be used; says why."""


@dataclass(frozen=True)
class ClockMemory:
    """How far the wall clock was ahead of the boot clock, on which boot of the machine."""

    boot_id: str
    offset_ns: int

    @classmethod
    def current(cls) -> ClockMemory:
        """By the machine's clocks now. Raises OSError where it does not tell its boot."""
        _, offset = min(_offset_ns() for _ in range(READINGS))
        return cls(BOOT_ID.read_text().strip(), offset)

    @classmethod
    def read(cls, path: Path) -> ClockMemory | None:
        """As it was written; None where nothing was. Raises BadMemory."""
        try:
            told = json.loads(path.read_text())
            return cls(str(told["boot_id"]), int(told["offset_ns"]))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError) as wrong:
            raise BadMemory(f"{path}: {wrong!r}") from wrong

    def write(self, path: Path) -> None:
        """Replace the file at one stroke. Raises OSError."""
        new = path.with_name(f"{path.name}.{os.getpid()}")
        try:
            new.write_text(json.dumps(asdict(self)) + "\n")
            os.replace(new, path)
        except OSError:
            new.unlink(missing_ok=True)
            raise

    def clock(self) -> Clock:
        """A clock that is as far ahead of the boot clock as this says."""
        now = self.offset_ns + time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Clock(now - time.monotonic_ns())


def remembered_clock(folder: Path) -> Clock:
    """The clock of the instances in this folder: the wall clock, without steps since the first start.

    Where the folder or the machine can't tell, the wall clock as it stands, with a line in the log.
    """
    path = folder / FILE_NAME
    try:
        current, known = ClockMemory.current(), _known(path)
    except OSError as wrong:
        log(f"steps of the wall clock can't be told from its time: {wrong}")
        return Clock()
    if known is not None and (step_ns := _step_ns(known, current)):
        log(
            f"the wall clock was stepped by {step_ns / 1e9:+.3f} s since {path} was written: "
            "the time of before is kept; to follow the new one, remove that file and start again"
        )
        return known.clock()
    try:
        current.write(path)
    except OSError as wrong:
        log(f"steps of the wall clock will not be told from its time: {path}: {wrong}")
    return current.clock()


def shown_clock(folder: Path) -> Clock:
    """The clock that an instance would go by if it started in this folder now, for tools; writes nothing."""
    try:
        current, known = ClockMemory.current(), ClockMemory.read(folder / FILE_NAME)
    except (OSError, BadMemory):
        return Clock()
    return known.clock() if known is not None and _step_ns(known, current) else current.clock()


def _step_ns(known: ClockMemory, current: ClockMemory) -> int:
    """By how much the wall clock was stepped in between; 0 on another boot, or where that is little."""
    step_ns = current.offset_ns - known.offset_ns
    return step_ns if known.boot_id == current.boot_id and abs(step_ns) >= STEP_LEAST_NS else 0


def _offset_ns() -> tuple[int, int]:
    """How long a reading of both clocks took, and how far the wall clock is ahead of the boot clock."""
    before = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    wall = time.time_ns()
    after = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return after - before, wall - (before + after) // 2


def _known(path: Path) -> ClockMemory | None:
    try:
        return ClockMemory.read(path)
    except BadMemory as wrong:
        log(f"written anew, as it can't be read: {wrong}")
        return None

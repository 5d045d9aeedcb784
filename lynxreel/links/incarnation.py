"""The incarnation number of an instance: it grows with every start, even if the clock goes back."""

from __future__ import annotations

import os
import time
from pathlib import Path

FILE = "incarnation"


def next_incarnation(folder: Path) -> int:
    """Writes and returns a number greater than any before in this folder; the caller holds the folder's lock.

    Raises OSError if it can't be written: without a number of its own, a process could be taken for an
    earlier one.
    """
    path = folder / FILE
    try:
        last = int(path.read_text())
    except (FileNotFoundError, ValueError):
        last = 0
    number = max(last + 1, time.time_ns() // 1_000_000)
    new = path.with_suffix(".new")
    with open(new, "w") as file:
        file.write(f"{number}\n")
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)
    return number

"""The number of an instance's life: it only grows, whatever the clock says."""

from __future__ import annotations

import os
import time
from pathlib import Path

FILE = "incarnation"


def next_incarnation(folder: Path) -> int:
    """A greater one than any before in this folder, written down; the lock of the folder is the caller's.

    Raises an OSError where it can't be written: without a number of its own a life could pass for another.
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

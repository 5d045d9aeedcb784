"""Reads a records file and its rotated predecessor, also if a crash or a full disk damaged them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lynxreel.records import format as lines


@dataclass(frozen=True)
class Records:
    """The readable records in the order they were written, and the number of torn lines."""

    lines: tuple[dict[str, Any], ...]
    torn: int

    def total(self, how: str) -> int:
        """Return the sum of one count (for instance `served`) over all classes and plans."""
        counts = (row for line in self.lines if line["record"] == "counts" for row in line["counts"])
        return sum(int(row.get(how, 0)) for row in counts)


def read(file: str | Path) -> Records:
    """Return the records of `file.1` and `file`. Raises FileNotFoundError if neither exists."""
    parts = [part for part in (Path(f"{file}.1"), Path(file)) if part.exists()]
    if not parts:
        raise FileNotFoundError(f"{file}: no records")
    decoded = [line for part in parts for line in lines.decode(part.read_bytes())]
    complete = tuple(line for line in decoded if line is not None)
    return Records(complete, len(decoded) - len(complete))

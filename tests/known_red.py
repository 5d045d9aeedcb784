"""The tests that are known to fail for a fault that has not been mended yet."""

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True)
class KnownRed:
    """One line of the file: `test | cause | issue`."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path = FILE) -> list[KnownRed]:
    """All entries. Raises ValueError at a line that is none, and where there are too many."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    entries = []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}, line {number}: wanted: test | cause | issue")
        entries.append(KnownRed(*parts))
    if len(entries) > MOST:
        raise ValueError(f"{path.name}: {len(entries)} entries, {MOST} at most")
    return entries

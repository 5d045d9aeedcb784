"""What boxes of another process did, kept for a ledger elsewhere."""

from __future__ import annotations

from collections import deque

from lynxreel.standins.ledger import Ledger

MOST = 1_000_000  # entries kept, the newest; a list of entries says how many went before
Entry = tuple[float, str, str, str]  # seconds (monotonic), arrive or run, the request's id, the box


class RunLog:
    """Takes the place of a ledger at boxes."""

    def __init__(self) -> None:
        self.entries: deque[Entry] = deque(maxlen=MOST)
        self.count = 0

    def arrive(self, number: bytes, at: float) -> None:
        """A request has come whole to a box."""
        self._add((at, "arrive", number.decode("latin-1"), ""))

    def run(self, number: bytes, box: str, at: float) -> None:
        """A box begins to work on a request."""
        self._add((at, "run", number.decode("latin-1"), box))

    def _add(self, entry: Entry) -> None:
        self.entries.append(entry)
        self.count += 1


def enter(ledger: Ledger, entries: list[Entry]) -> None:
    """Enter what boxes elsewhere did; all processes of one machine read one monotonic clock."""
    for at, what, number, box in sorted(entries):
        if what == "arrive":
            ledger.arrive(number.encode("latin-1"), at)
        else:
            ledger.run(number.encode("latin-1"), box, at)

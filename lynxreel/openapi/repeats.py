"""Answers kept by Idempotency-Key (draft-ietf-httpapi-idempotency-key-header), without I/O.

What is promised: at one gateway, while an entry is kept, the same key with the same request has the same
answer, and never two runs at once. Across gateways, after a death of this one or an entry's time, work in
hand at other instances tells where there is such (`lynxreel/takeover/`); else the key is the box's to know,
which is sent an id that is made of it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum


class Found(Enum):
    """What is known of a key."""

    NEW = "new"  # it is entered now, and runs
    RUNNING = "running"  # 409
    OTHER = "other"  # the same key with another request: 422
    DONE = "done"  # its answer is at hand
    FULL = "full"  # no room for one more: 503


@dataclass(slots=True)
class _Entry:
    mark: bytes
    until: float  # seconds; while it runs it is kept beyond that
    answer: object = None
    running: bool = True


class Repeats:
    """Bounded: `most` entries, each kept for `life` seconds from its answer."""

    def __init__(self, most: int, life: float) -> None:
        self._most, self._life = most, life
        self._entries: OrderedDict[tuple[int, str, str], _Entry] = OrderedDict()

    def begin(self, now: float, customer: int, route: str, key: str, mark: bytes) -> tuple[Found, object]:
        """What to do with a request under a key, and the answer where there is one."""
        name = (customer, route, key)
        entry = self._entries.get(name)
        if entry is not None and not entry.running and entry.until <= now:
            del self._entries[name]
            entry = None
        if entry is None:
            if not self._room(now):
                return Found.FULL, None
            self._entries[name] = _Entry(mark, now + self._life)
            return Found.NEW, None
        if entry.mark != mark:
            return Found.OTHER, None
        return (Found.RUNNING, None) if entry.running else (Found.DONE, entry.answer)

    def _room(self, now: float) -> bool:
        """Whether one more fits, those whose time is over gone."""
        if len(self._entries) >= self._most:
            for name in [name for name, e in self._entries.items() if not e.running and e.until <= now]:
                del self._entries[name]
        return len(self._entries) < self._most

    def end(self, now: float, customer: int, route: str, key: str, answer: object) -> None:
        """The answer of one that ran; None where nothing ran, so that the key may be used again."""
        name = (customer, route, key)
        entry = self._entries.get(name)
        if entry is None:
            return
        if answer is None:
            del self._entries[name]
            return
        entry.answer, entry.running, entry.until = answer, False, now + self._life

    def __len__(self) -> int:
        return len(self._entries)

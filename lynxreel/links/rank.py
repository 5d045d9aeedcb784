"""Where a name belongs among instances, by rendezvous hashing. No I/O.

Every instance works out the same order for a name, and where one goes, only what was first there moves.
Names are sorted into a number of buckets first, whose orders are remembered: a look costs no hash for each
instance.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable, Mapping

BUCKETS = 4096


class Ranks:
    """The orders of a fleet's instances. `zones` has the zone of each, by name."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        self.zones = dict(zones)
        self._orders: dict[int, tuple[str, ...]] = {}

    def order(self, name: bytes) -> tuple[str, ...]:
        """All instances, the one to which the name belongs first."""
        bucket = zlib.crc32(name) % BUCKETS
        found = self._orders.get(bucket)
        if found is None:
            found = self._orders[bucket] = tuple(sorted(self.zones, key=lambda one: _weight(one, bucket)))
        return found

    def keeper(self, name: bytes, owner: str, up: Iterable[str]) -> str | None:
        """Who keeps what `owner` has under a name: the first that is up, of another zone if there is one."""
        there, same = set(up), None
        for one in self.order(name):
            if one == owner or one not in there:
                continue
            if self.zones[one] != self.zones[owner]:
                return one
            same = same or one
        return same

    def likely(self, name: bytes) -> list[str]:
        """Who keeps it, whoever owns it, while all are up: the first two, and the first of each zone."""
        order = self.order(name)
        firsts = {self.zones[one]: one for one in reversed(order)}
        return [one for one in order if one in order[:2] or firsts[self.zones[one]] == one]


def _weight(instance: str, bucket: int) -> bytes:
    return hashlib.blake2b(b"%d/%b" % (bucket, instance.encode()), digest_size=8).digest()

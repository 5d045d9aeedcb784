"""Assigns names to instances by rendezvous hashing. No I/O.

Every instance computes the same order of instances for a name; when one leaves, only the names that it was
first for move. Names are hashed into buckets, and each bucket's order is cached, so a lookup does not compute
a hash for each instance.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Container, Iterable, Mapping

BUCKETS = 4096


class Ranks:
    """The orders of a fleet's instances. `zones` has the zone of each by name, `hosts` its machine."""

    def __init__(self, zones: Mapping[str, str], hosts: Mapping[str, str] | None = None) -> None:
        """Without `hosts`, each instance counts as being on a machine of its own."""
        self.zones = dict(zones)
        self.hosts = dict(hosts) if hosts is not None else {name: name for name in zones}
        self._orders: dict[int, tuple[str, ...]] = {}

    def order(self, name: bytes) -> tuple[str, ...]:
        """Returns all instances, ordered by rank for the name."""
        bucket = zlib.crc32(name) % BUCKETS
        order = self._orders.get(bucket)
        if order is None:
            order = self._orders[bucket] = tuple(
                sorted(self.zones, key=lambda instance: _weight(instance, bucket))
            )
        return order

    def keeper(self, name: bytes, owner: str, up: Iterable[str]) -> str | None:
        """Returns the keeper of what `owner` has under a name, None if no other instance is up.

        It is the first by rank that is up in another zone, else on another machine, else anywhere.
        """
        up_names, same_zone, same_host = set(up), None, None
        for instance in self.order(name):
            if instance == owner or instance not in up_names:
                continue
            if self.zones[instance] != self.zones[owner]:
                return instance
            if self.hosts[instance] != self.hosts[owner]:
                same_zone = same_zone or instance
            same_host = same_host or instance
        return same_zone or same_host

    def likely(self, name: bytes, excluded: Container[str] = ()) -> list[str]:
        """Returns who may be the keeper of a name, for any owner, if all instances but `excluded` are up.

        These are the first two, the first of each zone, and the first on another machine than the very first.
        """
        order = [instance for instance in self.order(name) if instance not in excluded]
        first_of_zone = {self.zones[instance]: instance for instance in reversed(order)}
        other_host = next(
            (instance for instance in order if self.hosts[instance] != self.hosts[order[0]]), None
        )
        return [
            instance
            for instance in order
            if instance in order[:2] or instance in (other_host, first_of_zone[self.zones[instance]])
        ]


def _weight(instance: str, bucket: int) -> bytes:
    return hashlib.blake2b(b"%d/%b" % (bucket, instance.encode()), digest_size=8).digest()

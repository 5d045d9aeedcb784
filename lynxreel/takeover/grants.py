"""Who may begin a request that nobody holds, and which peers have been silent. No I/O; microseconds.

A client may use a key at two instances at once, or at one while the copy of a killed instance is still in a
peer's socket. The first in the request's order of instances that is not dead coordinates: it lets one asker
begin the request and has the others wait for that one's copy.
"""

from __future__ import annotations

from dataclasses import dataclass, field

FIRST_EPOCH = 1  # of a request that has had one owner so far


@dataclass(slots=True)
class _Grant:
    holder: str  # who may begin it
    until: int  # for how long others wait for its copy
    told: set[str] = field(default_factory=set)  # who has heard that it is not held here


class Grants:
    """Which instance may begin which request, as one instance has told the others."""

    def __init__(self, span: int) -> None:
        """A grant is held for `span`: the holder has begun by then, also where it has stood still."""
        self._span = span
        self._grants: dict[bytes, _Grant] = {}

    def taken(self, now: int, request: bytes, asker: str) -> bool:
        """Whether another instance has been granted it, and is still waited for."""
        grant = self._grants.get(request)
        return grant is not None and grant.holder != asker and now < grant.until

    def grant(self, now: int, request: bytes, asker: str) -> bool:
        """The asker hears that it is not held here, and may begin it; true where it is the first to hear."""
        grant = self._grants.get(request)
        is_first = grant is None
        if grant is None:
            grant = self._grants[request] = _Grant(asker, now + self._span)
        elif now >= grant.until:
            grant.holder, grant.until = asker, now + self._span
        grant.told.add(asker)
        return is_first

    def refuses(self, request: bytes, owner: str, epoch: int, dead: bool) -> bool:
        """Whether a copy comes too late: an asker has begun the request in the meantime.

        An owner that lives and has taken the request over may have it from that asker.
        """
        grant = self._grants.get(request)
        is_late = dead or epoch == FIRST_EPOCH
        return grant is not None and is_late and owner not in grant.told

    def died(self, name: str) -> None:
        """An instance is dead: it begins nothing, and its copies may come too late."""
        for request, grant in list(self._grants.items()):
            grant.told.discard(name)
            if not grant.told:
                del self._grants[request]
            elif grant.holder == name:
                grant.until = 0

    def forget(self, request: bytes) -> None:
        """Its time is over."""
        self._grants.pop(request, None)


class Silence:
    """Which peers have owed an answer for longer than an instance that lives may stand still."""

    def __init__(self, span: int) -> None:
        """`span`: for which a peer is waited for."""
        self._span = span
        self._since: dict[str, int] = {}

    def asked(self, now: int, peer: str) -> None:
        """The peer owes an answer from now on, if it does not already."""
        self._since.setdefault(peer, now)

    def answered(self, peer: str) -> None:
        """The peer has answered."""
        self._since.pop(peer, None)

    def suspects(self, now: int, peer: str) -> bool:
        """Whether the peer has been silent for too long to be waited for again."""
        since = self._since.get(peer)
        return since is not None and now - since >= self._span

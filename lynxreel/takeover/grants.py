"""Who may start a request that nobody holds, and which peers have been silent. No I/O; microseconds.

A client may use a key at two instances at once, or at one while the replica of a killed instance is still in
a peer's socket. The coordinator is the first instance in the request's rank order that is not dead: it allows
one instance to start the request and makes the others wait for that one's replica.
"""

from __future__ import annotations

from dataclasses import dataclass, field

FIRST_EPOCH = 1  # of a request that has had one owner so far


@dataclass(slots=True)
class _Grant:
    holder: str  # who may start the request
    expires_at: int  # until when others wait for its replica
    informed: set[str] = field(default_factory=set)  # who has been informed that it is not held here


class StartGrants:
    """The instance that may start each request, as granted by this instance."""

    def __init__(self, duration: int) -> None:
        """A grant is valid for `duration`: its holder has started the request by then, even after a stall."""
        self._duration = duration
        self._grants: dict[bytes, _Grant] = {}

    def held_by_other(self, now: int, request: bytes, asker: str) -> bool:
        """Returns whether another instance holds a valid grant."""
        grant = self._grants.get(request)
        return grant is not None and grant.holder != asker and now < grant.expires_at

    def grant(self, now: int, request: bytes, asker: str) -> bool:
        """Grants the start unless another instance holds a valid grant.

        The asker learns that the request is not held here. Returns whether it is the first asker.
        """
        grant = self._grants.get(request)
        is_first = grant is None
        if grant is None:
            grant = self._grants[request] = _Grant(asker, now + self._duration)
        elif now >= grant.expires_at:
            grant.holder, grant.expires_at = asker, now + self._duration
        grant.informed.add(asker)
        return is_first

    def rejects_replica(self, request: bytes, owner: str, epoch: int, dead: bool) -> bool:
        """Returns whether a replica comes too late: another instance has started the request in the meantime.

        A live owner that has taken the request over may have it from that instance.
        """
        grant = self._grants.get(request)
        is_late = dead or epoch == FIRST_EPOCH
        return grant is not None and is_late and owner not in grant.informed

    def peer_died(self, name: str) -> None:
        """Handles the death of an instance: it starts nothing, and its replicas may come too late."""
        for request, grant in list(self._grants.items()):
            grant.informed.discard(name)
            if not grant.informed:
                del self._grants[request]
            elif grant.holder == name:
                grant.expires_at = 0

    def remove(self, request: bytes) -> None:
        """Removes the grant of an expired request."""
        self._grants.pop(request, None)


class PeerResponses:
    """Tracks which peers have owed a response for longer than a live instance may stall."""

    def __init__(self, duration: int) -> None:
        """`duration`: for how long a peer's response is awaited."""
        self._duration = duration
        self._silent_since: dict[str, int] = {}

    def request_sent(self, now: int, peer: str) -> None:
        """Notes that the peer owes a response from now on, if it does not already."""
        self._silent_since.setdefault(peer, now)

    def response_received(self, peer: str) -> None:
        """Notes that the peer has responded."""
        self._silent_since.pop(peer, None)

    def is_unresponsive(self, now: int, peer: str) -> bool:
        """Returns whether the peer has been silent for too long to be awaited again."""
        since = self._silent_since.get(peer)
        return since is not None and now - since >= self._duration

"""Decides who may act on a request if its owner and its keeper can't reach each other. No I/O; microseconds.

An owner holds a lease from each keeper and renews it all the time: a LeaseRequest carries the time of the
owner's clock, the LeaseGrant returns it, and from that time on the owner may act for the duration of the
lease. The lease expires by the owner's clock before it does by the keeper's, as the keeper counts from its
response and adds the drift: clocks may differ by any offset, but must not drift apart by more than that.

After it has expired, one of the two may resume the requests: whichever is first to write its decision to the
store, which both read. A decision applies to one session between one incarnation of each; after it a new
session begins, and replicas of the previous one are void. A keeper that has begun to propose a decision
grants no lease any more.

A death that is certain needs no decision if it is noticed while the lease is still valid: nobody can have
proposed one before. A keeper knows that an owner's lease is valid by the grants whose stamps return in
later requests.

With a lease of 0 there is no store: an owner may always act, and only dead owners are taken over.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

RENEWALS_PER_LEASE = 6  # a death is certain for at least half of a lease after the last renewal
# Part of a lease that an owner waits before it proposes a decision: a slow keeper has responded by then.
PROPOSAL_GRACE = 0.5
IMMEDIATE_RENEWALS = 2  # grants that an owner follows up with a renewal at once
MAX_REMEMBERED_GRANTS = 16  # renewals whose grants a keeper remembers


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """An owner requests or renews its lease. `last_grant`: the stamp of the last grant that it received."""

    session: int
    stamp: int
    last_grant: int


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="echo"):
    """A keeper grants the lease, from `stamp` on by the owner's clock."""

    session: int
    stamp: int


@dataclass(frozen=True, slots=True)
class Pair:
    """What a decision applies to: the replicas that an owner has placed at a keeper in one session."""

    owner: str
    owner_incarnation: int
    keeper: str
    keeper_incarnation: int
    session: int


class Standing(Enum):
    """What a keeper may do with a replica."""

    WAIT = "wait"  # the owner may act
    ASK = "ask"  # a decision has to be proposed
    MINE = "mine"  # take it over
    VOID = "void"  # the owner has placed it elsewhere


@dataclass(slots=True)
class _LeaseFromKeeper:
    """An owner's lease from one keeper."""

    keeper_incarnation: int
    session: int = 1
    expires_at: int = 0
    last_grant: int = 0
    proposing: bool = False
    grants_received: int = 0


@dataclass(slots=True)
class _LeaseToOwner:
    """The leases that a keeper granted to one owner."""

    session: int = 1
    expires_at: int = 0  # the owner's lease has certainly expired by then
    certain_until: int = 0  # the lease is certainly valid until then
    # By stamp: the time of the grant, and the time of the previous grant that the owner had received.
    grants: dict[int, tuple[int, int]] = field(default_factory=dict)
    proposing: bool = False
    keeper_resumes: bool | None = None  # the decision
    died_in_time: bool | None = None  # False: it died when it might have placed its requests elsewhere


class Leases:
    """The leases that one instance holds as an owner and grants as a keeper."""

    def __init__(self, duration: int, max_drift: float) -> None:
        self.duration, self._max_drift = duration, max_drift
        self._from_keepers: dict[str, _LeaseFromKeeper] = {}
        self._to_owners: dict[tuple[str, int], _LeaseToOwner] = {}

    # --- owner ------------------------------------------------------------------------------------------

    def keeper_connected(self, keeper: str, incarnation: int) -> None:
        """Handles a keeper that is up. A new incarnation grants new leases."""
        if keeper not in self._from_keepers or self._from_keepers[keeper].keeper_incarnation != incarnation:
            self._from_keepers[keeper] = _LeaseFromKeeper(incarnation)

    def may_act(self, now: int, keeper: str) -> bool:
        """Returns whether the requests at this keeper may be acted on."""
        if not self.duration:
            return True
        lease = self._from_keepers.get(keeper)
        return lease is not None and now < lease.expires_at

    def expired_keepers(self, now: int) -> frozenset[str]:
        """Returns the keepers whose lease has expired; with a lease of 0, none."""
        if not self.duration:
            return frozenset()
        return frozenset([name for name, lease in self._from_keepers.items() if now >= lease.expires_at])

    def active_count(self, now: int) -> int:
        """Returns the number of keepers whose lease is valid."""
        return sum(now < lease.expires_at for lease in self._from_keepers.values())

    def session(self, keeper: str) -> int:
        """Returns the session in which replicas are placed at this keeper now."""
        lease = self._from_keepers.get(keeper)
        return lease.session if lease is not None else 1

    def renewal(self, now: int, keeper: str) -> LeaseRequest:
        """Returns the message that renews the lease from a keeper."""
        lease = self._from_keepers[keeper]
        return LeaseRequest(lease.session, now, lease.last_grant)

    def wants_early_renewal(self, keeper: str) -> bool:
        """Returns whether to renew at once: a keeper is certain only after a renewal behind two grants."""
        lease = self._from_keepers.get(keeper)
        return lease is not None and lease.grants_received <= IMMEDIATE_RENEWALS

    def grant_received(self, now: int, keeper: str, grant: LeaseGrant) -> bool:
        """Handles a keeper's grant; returns whether requests may be acted on that could not be before."""
        lease = self._from_keepers.get(keeper)
        if lease is None or lease.session != grant.session or grant.stamp > now:
            return False
        before = now < lease.expires_at
        lease.grants_received += 1
        lease.last_grant = max(lease.last_grant, grant.stamp)
        lease.expires_at = max(lease.expires_at, grant.stamp + self.duration)
        return not before and now < lease.expires_at

    def owner_proposal(self, now: int, owner: str, owner_incarnation: int, keeper: str) -> Pair | None:
        """Returns the decision that the owner has to propose; None if it is too early or proposed already."""
        lease = self._from_keepers.get(keeper)
        if lease is None or lease.proposing or now < lease.expires_at + self.duration * PROPOSAL_GRACE:
            return None
        lease.proposing = True
        return Pair(owner, owner_incarnation, keeper, lease.keeper_incarnation, lease.session)

    def owner_proposes_at(self, keeper: str) -> int:
        """Returns when the owner proposes a decision unless the lease is renewed."""
        lease = self._from_keepers.get(keeper)
        return lease.expires_at + int(self.duration * PROPOSAL_GRACE) if lease is not None else 0

    def owner_decision_received(self, pair: Pair, is_known: bool) -> bool:
        """Handles the decision on an owner's replicas; returns whether there is one and a session begins."""
        lease = self._from_keepers.get(pair.keeper)
        if lease is None or (lease.keeper_incarnation, lease.session) != (
            pair.keeper_incarnation,
            pair.session,
        ):
            return False
        lease.proposing = False
        if is_known:
            lease.session, lease.expires_at, lease.last_grant, lease.grants_received = (
                lease.session + 1,
                0,
                0,
                0,
            )
        return is_known

    # --- keeper -----------------------------------------------------------------------------------------

    def renewal_received(
        self, now: int, owner: str, incarnation: int, request: LeaseRequest
    ) -> tuple[LeaseGrant | None, bool]:
        """Handles an owner's renewal; returns the grant, and whether its earlier replicas are void now."""
        lease = self._to_owners.setdefault((owner, incarnation), _LeaseToOwner(request.session))
        session_is_new = self.session_seen(owner, incarnation, request.session)
        if (
            request.session < lease.session
            or lease.proposing
            or lease.keeper_resumes is not None
            or lease.died_in_time is not None
        ):
            return None, session_is_new
        if request.last_grant in lease.grants:
            certain_from = lease.grants[request.last_grant][1]
            lease.certain_until = max(
                lease.certain_until, certain_from + int(self.duration * (1 - self._max_drift))
            )
        before = lease.grants[request.last_grant][0] if request.last_grant in lease.grants else 0
        lease.grants[request.stamp] = (now, before)
        if len(lease.grants) > MAX_REMEMBERED_GRANTS:
            del lease.grants[next(iter(lease.grants))]
        lease.expires_at = now + int(self.duration * (1 + 2 * self._max_drift))
        return LeaseGrant(request.session, request.stamp), session_is_new

    def session_seen(self, owner: str, incarnation: int, session: int) -> bool:
        """Notes the session of a message; returns whether it is later than those before."""
        lease = self._to_owners.setdefault((owner, incarnation), _LeaseToOwner(session))
        if session <= lease.session:
            return False
        self._to_owners[(owner, incarnation)] = _LeaseToOwner(session)
        return True

    def peer_died(self, now: int, owner: str, incarnation: int) -> None:
        """Handles the death of an owner, with all its incarnations up to this one."""
        for (name, known_incarnation), lease in self._to_owners.items():
            if name == owner and known_incarnation <= incarnation and lease.died_in_time is None:
                lease.died_in_time = not self.duration or now < lease.certain_until

    def certain_count(self, now: int) -> int:
        """Returns the number of owners whose lease is certainly valid: if one dies, no decision is needed."""
        return sum(
            now < lease.certain_until and lease.died_in_time is None for lease in self._to_owners.values()
        )

    def standing(self, now: int, owner: str, incarnation: int, session: int, dead: bool) -> Standing:
        """Returns what may be done with a replica now; `dead`: its owner is dead."""
        if not self.duration:
            return Standing.MINE if dead else Standing.WAIT
        lease = self._to_owners.setdefault((owner, incarnation), _LeaseToOwner(session))
        if session < lease.session or lease.keeper_resumes is False:
            return Standing.VOID
        if lease.keeper_resumes or lease.died_in_time:
            return Standing.MINE
        return Standing.ASK if lease.died_in_time is False or now >= lease.expires_at else Standing.WAIT

    def expires_at(self, owner: str, incarnation: int) -> int:
        """Returns when the owner's lease will have expired unless it is renewed."""
        lease = self._to_owners.get((owner, incarnation))
        return lease.expires_at if lease is not None else 0

    def begin_keeper_proposal(self, owner: str, incarnation: int, session: int) -> bool:
        """Begins to propose a decision as the keeper; returns False if that is under way already."""
        lease = self._to_owners[(owner, incarnation)]
        if lease.proposing or lease.session != session:
            return False
        lease.proposing = True
        return True

    def keeper_decision_received(self, pair: Pair, keeper_resumes: bool | None) -> bool:
        """Handles the decision on an owner's replicas, None if unavailable; returns False if out of date.

        Until it is known the keeper grants no lease: its own decision may have been written without a
        confirmation.
        """
        lease = self._to_owners.get((pair.owner, pair.owner_incarnation))
        if lease is None or lease.session != pair.session:
            return False
        if keeper_resumes is not None:
            lease.proposing, lease.keeper_resumes = False, keeper_resumes
        return True

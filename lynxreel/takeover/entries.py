"""In-memory state of requests: those owned here, replicas of others, and lookups at peers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from lynxreel.takeover.messages import Answer, Record
from mothgap.interface import Effect

Waiter: TypeAlias = "int | tuple[str, int]"  # a local client by its token, or an instance and its token


@dataclass(slots=True)
class OwnedRequest:
    """A request that this instance owns. Times are microseconds."""

    record: Record
    epoch: int
    deadline: int
    counted: bool
    waiters: list[Waiter]
    keeper: str | None = None
    keeper_incarnation: int = 0
    uncovered_reason: str = ""  # why it has no keeper
    full_keepers: set[str] = field(default_factory=set)  # keepers that had no room
    possible_runs: dict[int, int] = field(default_factory=dict)  # attempts that may have run, and since when
    earlier_run: int | None = None  # since when an attempt of an earlier owner may have run
    pending_attempts: dict[int, str] = field(default_factory=dict)  # boxes of attempts that wait for an Ack
    acknowledged: set[int] = field(default_factory=set)  # of these, those whose intent the keeper has stored
    attempt_deadlines: dict[int, int] = field(default_factory=dict)  # when attempts time out
    answer: Answer | None = None
    withheld: Answer | None = None  # the answer, while this instance must not send it
    refusal_pending: bool = False  # the answer waits for the keeper to acknowledge it
    superseded_by: int = 0  # the epoch of another owner, once known


@dataclass(slots=True)
class Replica:
    """A replica of another owner's request. Times are microseconds."""

    record: Record
    epoch: int
    owner: str
    owner_incarnation: int
    session: int
    deadline: int
    counted: bool
    sent_at: int | None  # since when an attempt may have run
    answer: Answer | None
    size: int
    attempt_deadline: int = 0  # until when an attempt of the owner may be running
    waiters: list[Waiter] = field(default_factory=list)


@dataclass(slots=True)
class Lookup:
    """The lookup of a request that a client returned for and that is not held here."""

    id: bytes
    customer: int
    effect: Effect
    awaiting: dict[str, bool]  # the peers that are asked, and whether the response of each is awaited
    round: int = 0
    retry_at: int = 0  # when to ask again
    paused: bool = False  # no peer is asked until `retry_at`
    mark: bytes = b""


@dataclass(slots=True)
class KeyedLookup(Lookup):
    """The lookup for a key that may have been used before: the request is started if nobody holds it."""

    response_deadlines: dict[str, int] = field(default_factory=dict)  # until when each peer is awaited
    in_progress_at: set[str] = field(default_factory=set)  # peers at which the request is running

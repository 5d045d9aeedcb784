"""What an instance remembers of requests: its own, copies of others', and what it asks others for."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from lynxreel.takeover.messages import Answer, Record
from mothgap.interface import Effect

Waiter: TypeAlias = "int | tuple[str, int]"  # a client here by its token, or an instance and its token


@dataclass(slots=True)
class Own:
    """A request of which this instance is the owner."""

    record: Record
    epoch: int
    until: int
    counted: bool
    waiters: list[Waiter]
    keeper: str | None = None
    at: int = 0  # the keeper's incarnation
    why: str = ""  # why it has no keeper
    full: set[str] = field(default_factory=set)  # keepers that had no room
    ran: dict[int, int] = field(default_factory=dict)  # attempts that may have run, and since when
    earlier: int | None = None  # since when one of an owner before this one may have run
    holding: dict[int, str] = field(default_factory=dict)  # attempts that wait for their intent; their boxes
    noted: set[int] = field(default_factory=set)  # of these, the ones whose intent its keeper has noted
    waits: dict[int, int] = field(default_factory=dict)  # attempts, and when nobody waits for them any more
    answer: Answer | None = None
    parked: Answer | None = None  # the answer, while this instance may not give it
    refusing: bool = False  # the answer waits for the keeper to know it
    taken: int = 0  # the epoch of another owner, which was found out


@dataclass(slots=True)
class Kept:
    """A copy of another owner's request."""

    record: Record
    epoch: int
    owner: str
    at: int  # the owner's incarnation
    session: int
    until: int
    counted: bool
    sent: int | None  # since when an attempt may have run
    answer: Answer | None
    size: int
    out: int = 0  # until when an attempt may be out
    waiters: list[Waiter] = field(default_factory=list)


@dataclass(slots=True)
class Asked:
    """A client that has come back, or may have, for what is not held here."""

    id: bytes
    customer: int
    effect: Effect
    waiting: dict[str, bool]  # who is asked, and whether its word is awaited
    round: int = 0
    again: int = 0  # when to ask again
    paused: bool = False  # until then nobody is asked
    mark: bytes = b""


@dataclass(slots=True)
class Sought(Asked):
    """A request under a key that its client may have used before: begun where nobody holds it."""

    patience: dict[str, int] = field(default_factory=dict)  # until when the word of each is waited for
    pending: set[str] = field(default_factory=set)  # those at which it is under way

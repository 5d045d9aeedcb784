"""What `Work` wants done: by the links, the engine, the fronts and the store. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from lynxreel.takeover.messages import Answer, Message, Record
from lynxreel.takeover.rights import Pair


@dataclass(frozen=True, slots=True)
class Say:
    """Tell another instance."""

    to: str
    message: Message
    idle: bool = False  # nobody waits for it


@dataclass(frozen=True, slots=True)
class Go:
    """The attempt may be made."""

    id: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Stay:
    """The attempt must not be made: it has never run."""

    id: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Carry:
    """This instance is the owner now: go on with the request through the decision module."""

    record: Record
    left: int
    counted: bool  # its units are on the counter
    sent: bool  # and taken from its first owner's part of the ceiling


@dataclass(frozen=True, slots=True)
class Give:
    """A client that waits here gets its answer."""

    token: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class Begin:
    """Nobody was found to have what this client may have asked for before: it is a new request."""

    token: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Nobody here wants it any more. `moved`: another instance has it, with the units that it took."""

    id: bytes
    moved: bool = False


@dataclass(frozen=True, slots=True)
class Passed:
    """For the operators: a request has passed to this instance, or from this one to another."""

    id: bytes
    cls: str
    here: bool
    other: str  # whose it was, if it is here now
    how: str  # what became of it then


@dataclass(frozen=True, slots=True)
class Ask:
    """Write this instance's word about these copies, unless there is one; `word` follows."""

    pair: Pair
    owner: bool  # as the owner; else as the keeper


Action: TypeAlias = Say | Go | Stay | Carry | Give | Begin | Leave | Passed | Ask

"""Actions that the takeover state machine asks the links, engine, fronts and store to perform. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from lynxreel.takeover.messages import Answer, Message, Record
from lynxreel.takeover.rights import Pair


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another instance."""

    to: str
    message: Message
    deferrable: bool = False  # nobody waits for it, so it may be sent later


@dataclass(frozen=True, slots=True)
class AllowAttempt:
    """Send the attempt that was announced."""

    id: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class DenyAttempt:
    """Don't send the attempt: it has never run."""

    id: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class ResumeRequest:
    """Resume a request that this instance owns now, through the decision module."""

    record: Record
    time_left: int
    counted: bool  # its units have been added to the counter
    sent: bool  # its units were also taken from the first owner's share of the ceiling


@dataclass(frozen=True, slots=True)
class AnswerClient:
    """Answer a client that waits here."""

    token: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Start a new request: nobody holds one under the key of this client."""

    token: int


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel a request that nobody here waits for. `moved`: another instance owns it and its units."""

    id: bytes
    moved: bool = False


@dataclass(frozen=True, slots=True)
class ReportTransfer:
    """Report to operators that a request moved to this instance, or from this one to another."""

    id: bytes
    cls: str
    here: bool
    other: str  # the previous owner, if the request is here now
    how: str  # what happened to the request then


@dataclass(frozen=True, slots=True)
class ProposeDecision:
    """Write this instance's ownership decision on a pair's replicas, unless there is one already."""

    pair: Pair
    as_owner: bool  # as the owner; otherwise as the keeper


Action: TypeAlias = (
    SendMessage
    | AllowAttempt
    | DenyAttempt
    | ResumeRequest
    | AnswerClient
    | StartRequest
    | CancelRequest
    | ReportTransfer
    | ProposeDecision
)

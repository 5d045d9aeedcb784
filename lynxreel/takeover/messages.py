"""Messages between instances about in-flight requests. Times are durations in microseconds: clocks differ."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lynxreel.takeover.rights import LeaseGrant, LeaseRequest


class AnswerKind(IntEnum):
    """How a request ended, or why there is no answer. Operators' records have the names in lower case."""

    NONE = 0  # not held here
    SERVED = 1
    REFUSED = 2  # nothing ran
    FAILED = 3  # it may have run
    UNKNOWN = 4  # it may have run, and this can never be known
    UNKEPT = 5  # served with a value too large to be kept
    OTHER = 6  # the id belongs to another request
    PENDING = 7  # still running, the answer follows; sent only for lookups with `starts_if_absent`


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A final answer. `wait`: microseconds after which a refused request may be sent again."""

    kind: AnswerKind
    value: bytes = b""
    wait: int = 0
    status: int = 0  # of an HTTP answer, with its header fields; 0 for any other
    fields: tuple[tuple[str, str], ...] = ()


NONE, UNKNOWN, REFUSED, OTHER, PENDING = (
    Answer(kind)
    for kind in (
        AnswerKind.NONE,
        AnswerKind.UNKNOWN,
        AnswerKind.REFUSED,
        AnswerKind.OTHER,
        AnswerKind.PENDING,
    )
)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The data of a request that another instance needs to resume it."""

    id: bytes
    customer: int
    cls: str
    plan: str
    units: float
    spread: int
    first: int
    call: tuple[bytes, ...]  # the strings of the command, or of the packed HTTP exchange, for boxes
    mark: bytes = b""  # fingerprint of the request; empty if the id alone identifies it

    @property
    def size(self) -> int:
        """Approximate bytes in memory."""
        return 200 + len(self.id) + sum(len(text) + 40 for text in self.call)


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Asks a keeper to store a replica, or updates the stored one."""

    record: Record
    epoch: int
    session: int  # between its owner and this keeper
    time_left: int  # until its client gives up
    counted: bool  # its units have been, or may have been, added to the counter
    sent_ago: int = -1  # since the first attempt that may have run; -1 if there is none
    answer: Answer | None = None


class Intent(msgspec.Struct, frozen=True, array_like=True, tag="intent"):
    """Reports that an attempt is about to be sent."""

    id: bytes
    epoch: int
    session: int
    attempt: int
    box: str
    sent_ago: int  # since the first attempt that may have run; 0 if this is the first
    timeout: int  # of this attempt


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="noted"):
    """Acknowledges an intent, or a refusal, that the keeper has stored."""

    id: bytes
    epoch: int
    attempt: int


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="unkept"):
    """Rejects a Put or an Intent: the replica is not kept here, for lack of room or as it comes too late."""

    id: bytes
    epoch: int


class Superseded(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Tells a sender that the request has another owner now."""

    id: bytes
    epoch: int  # of the new owner


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """Reports the final answer of a request."""

    id: bytes
    epoch: int
    session: int
    answer: Answer


class LookupRequest(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Looks up a request for a client that returned. Repeated until answered; `token` identifies it."""

    token: int
    id: bytes
    customer: int
    round: int  # number of this round; responses to an earlier round are out of date
    # Who has no replica must reject later ones, as the client is told that the outcome is unknown.
    last_round: bool
    mark: bytes = b""
    # Versions before 0.2 send neither of these two.
    starts_if_absent: bool = False  # the request is started if nobody holds it; a holder responds at once
    to_coordinator: bool = False  # the receiver is the sender's coordinator and decides who may start it


class LookupResponse(msgspec.Struct, frozen=True, array_like=True, tag="result"):
    """The response to a lookup, which may take as long as the request."""

    token: int
    round: int
    answer: Answer


Message = (
    Put
    | Intent
    | Ack
    | Rejected
    | Superseded
    | Done
    | LookupRequest
    | LookupResponse
    | LeaseRequest
    | LeaseGrant
)
MESSAGE_TYPES = (
    Put,
    Intent,
    Ack,
    Rejected,
    Superseded,
    Done,
    LookupRequest,
    LookupResponse,
    LeaseRequest,
    LeaseGrant,
)

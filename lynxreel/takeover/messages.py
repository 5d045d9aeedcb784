"""What instances tell each other of work in hand. Times are microseconds, and spans only: clocks differ."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from lynxreel.takeover.rights import Beat, Echo


class How(IntEnum):
    """How a request ended, or that there is nothing to tell."""

    NONE = 0  # it is not held here
    SERVED = 1
    REFUSED = 2  # nothing has run
    FAILED = 3  # it may have run
    UNKNOWN = 4  # it may have run, and nobody will ever know
    UNKEPT = 5  # it was served with more than is kept
    OTHER = 6  # the id is that of another request
    PENDING = 7  # it is under way, and its answer follows; told only to those that seek


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A final answer. `wait`: after which to come again, where it was refused."""

    how: How
    value: bytes = b""
    wait: int = 0
    status: int = 0  # of an answer over HTTP, with its header fields; 0 for any other
    fields: tuple[tuple[str, str], ...] = ()


NONE, UNKNOWN, REFUSED, OTHER, PENDING = (
    Answer(how) for how in (How.NONE, How.UNKNOWN, How.REFUSED, How.OTHER, How.PENDING)
)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A request, as another instance needs it to go on with it."""

    id: bytes
    customer: int
    cls: str
    plan: str
    units: float
    spread: int
    first: int
    call: tuple[bytes, ...]  # the strings of the command that boxes are sent, or of what they are asked
    mark: bytes = b""  # of what was asked; empty where any request under its id is the same

    @property
    def size(self) -> int:
        """Bytes that it takes, roughly."""
        return 200 + len(self.id) + sum(len(word) + 40 for word in self.call)


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Keep this. Sent again it brings what is kept up to date."""

    record: Record
    epoch: int
    session: int  # of its owner and this keeper
    left: int  # until its client gives up
    counted: bool  # its units are on the counter, or may be
    sent: int = -1  # since its first attempt that may have run; -1 where there is none
    answer: Answer | None = None


class Intent(msgspec.Struct, frozen=True, array_like=True, tag="intent"):
    """An attempt is about to be made."""

    id: bytes
    epoch: int
    session: int
    attempt: int
    box: str
    sent: int  # since the first attempt that may have run; 0 where this is it
    wait: int  # for which it is waited for


class Noted(msgspec.Struct, frozen=True, array_like=True, tag="noted"):
    """The answer to an Intent: it is down."""

    id: bytes
    epoch: int
    attempt: int


class Unkept(msgspec.Struct, frozen=True, array_like=True, tag="unkept"):
    """The answer to a Put or an Intent: there is no room for it here, and it is not kept."""

    id: bytes
    epoch: int


class Taken(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """The answer to what is said of work that has another owner now."""

    id: bytes
    epoch: int  # of that owner


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """It has its final answer."""

    id: bytes
    epoch: int
    session: int
    answer: Answer


class Want(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """A client has come back for this. Said again until there is a Result; `token` tells them apart."""

    token: int
    id: bytes
    customer: int
    round: int  # which asking it is; an answer to an earlier one says nothing of now
    last: bool  # if nobody has it now, nobody may have it later: its end will be told as unknown
    mark: bytes = b""
    # Both are absent from what versions before 0.2 say.
    seeks: bool = False  # it is begun where nobody holds it; who holds it says so at once
    coordinates: bool = False  # whom the asker takes for the coordinator: its word decides who begins it


class Result(msgspec.Struct, frozen=True, array_like=True, tag="result"):
    """The answer to a Want, which may take as long as the work."""

    token: int
    round: int
    answer: Answer


Message = Put | Intent | Noted | Unkept | Taken | Done | Want | Result | Beat | Echo
KINDS = (Put, Intent, Noted, Unkept, Taken, Done, Want, Result, Beat, Echo)

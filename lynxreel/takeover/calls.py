"""Requests as the engine sees them, if another instance may resume them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from lynxreel.engine.engine import Call
from lynxreel.protocol import commands
from lynxreel.relay.stream import Stream
from lynxreel.takeover.messages import OTHER, Answer, AnswerKind, Record

if TYPE_CHECKING:
    from lynxreel.protocol.exchange import Exchange


class OwnedCall:
    """A request that this instance owns. `ended` is called with its answer and the value as received."""

    __slots__ = ("accepted", "cls", "counted", "customer", "ended", "first", "id", "inner", "mark", "is_over",
                 "patience", "plan", "request", "retry", "spread", "streams", "token", "units",
                 "strings", "sent")  # fmt: skip
    back = seeks = False

    def __init__(
        self, inner: Call | None, ended: Callable[[OwnedCall, Answer, bytes | Stream], None], token: int
    ) -> None:
        """`inner`: the client's call, `token`: its number; None and 0 for another instance's request."""
        self.inner, self.ended, self.token = inner, ended, token
        self.request = 0  # the engine's number of this request
        self.accepted = self.is_over = False  # it has been replicated; it has its answer
        self.strings: Sequence[bytes] = ()
        self.mark = b"" if inner is None else inner.mark
        self.streams = self.counted = self.sent = self.retry = False
        if inner is not None:
            self.id, self.customer, self.cls, self.plan = inner.id, inner.customer, inner.cls, inner.plan
            self.units, self.patience, self.spread, self.first = (
                inner.units,
                inner.patience,
                inner.spread,
                inner.first,
            )
            self.retry, self.streams, self.counted = inner.retry, inner.streams, inner.counted

    @classmethod
    def resumed(
        cls,
        record: Record,
        places: tuple[int, int],
        patience: int,
        counted: bool,
        sent: bool,
        ended: Callable[[OwnedCall, Answer, bytes | Stream], None],
    ) -> OwnedCall:
        """Makes a request that had another owner. `places`: its class and plan; `patience`: milliseconds."""
        resumed = cls(None, ended, 0)
        resumed.id, resumed.customer, resumed.units = record.id, record.customer, record.units
        (resumed.cls, resumed.plan), resumed.patience = places, patience
        resumed.spread, resumed.first, resumed.strings = record.spread, record.first, record.call
        resumed.counted, resumed.sent, resumed.accepted = counted, sent, True
        return resumed

    def portable(self) -> tuple[bytes, ...]:
        """Returns the strings from which another instance can resume it."""
        return self.inner.portable() if self.inner is not None else tuple(self.strings)

    def command(self, wait: int) -> bytes:
        """Returns the command for a server; `wait` in microseconds."""
        return self.inner.command(wait) if self.inner is not None else commands.command(self.strings, wait)

    def exchange(self, wait: int) -> Exchange:
        """Returns the same for a server that speaks HTTP."""
        return self.inner.exchange(wait) if self.inner is not None else commands.exchange(self.strings, wait)

    def has_left(self) -> bool:
        """Returns whether it is given up with its client: it is not, as that may come back for it."""
        return False

    def served(self, value: bytes | Stream, again: bool = False) -> None:
        """Handles a server's value, which may still be streaming."""
        if isinstance(value, Stream):
            self.ended(self, Answer(AnswerKind.UNKEPT), value)
        elif (status := getattr(value, "status", 0)) != 0:
            fields = tuple(getattr(value, "fields", ()))
            self.ended(self, Answer(AnswerKind.SERVED, bytes(value), 0, status, fields), value)
        else:
            self.ended(self, Answer(AnswerKind.SERVED, value), value)

    def refused(self, wait: int) -> None:
        """Handles a refusal; it may be sent again after `wait` microseconds if not 0."""
        self.ended(self, Answer(AnswerKind.REFUSED, wait=wait), b"")

    def failed(self) -> None:
        """Handles a failure."""
        self.ended(self, Answer(AnswerKind.FAILED), b"")

    def unknown(self) -> None:
        """Handles an outcome that is unknown: it may have run."""
        self.ended(self, Answer(AnswerKind.UNKNOWN), b"")

    def clash(self) -> None:
        """Handles a conflict: its id belongs to another request."""
        self.ended(self, OTHER, b"")


def answer_call(call: Call, answer: Answer, value: bytes | Stream | None, harmless: bool) -> None:
    """Answers a client. `value`: as received, if at hand; `harmless`: the request may run twice."""
    match answer.kind:
        case AnswerKind.SERVED if value is not None:
            call.served(value)
        case AnswerKind.SERVED if answer.status:
            # Imported here: only needed if boxes speak HTTP.
            from lynxreel.protocol.exchange import Answer as HttpAnswer

            call.served(HttpAnswer.of(answer.value, answer.status, answer.fields), again=True)
        case AnswerKind.SERVED:
            call.served(answer.value, again=True)
        case AnswerKind.UNKEPT if value is not None:
            call.served(value)
        case AnswerKind.REFUSED:
            call.refused(answer.wait)
        case AnswerKind.FAILED:
            call.failed()
        case AnswerKind.OTHER:
            call.clash()
        case AnswerKind.UNKEPT if harmless:
            call.refused(0)
        case _:
            call.unknown()

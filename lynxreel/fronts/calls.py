"""Clients' calls in RESP2: what a valid command is, and the answers to it."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from lynxreel.protocol import commands
from lynxreel.relay.deferral import MAX_DEFERRAL
from lynxreel.relay.stream import Stream
from mothgap.interface import Effect, Settings
from mothgap.settings import Names

if TYPE_CHECKING:
    from lynxreel.protocol.exchange import Exchange

ARITY = {b"CALL.GET": 4, b"CALL.POST": 5}
MAX_CUSTOMERS = 1 << 33
FAILED = b"-ERR failed\r\n"
UNREAD_FRACTION = 0.5  # of the shortest deadline: the rest is left to commands that were not read at once
CUSTOMER_PATTERN = re.compile(rb"[0-9a-f]{16}")
ID_PATTERN = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
NAME_PATTERN = re.compile(rb"[^\0- ]{1,128}")
NUMBER_PATTERN = re.compile(rb"\d{1,9}")
PARAMETERS = {  # parameters of a call's list, and the form of their values
    b"c": NAME_PATTERN, b"t": NAME_PATTERN, b"k": NAME_PATTERN, b"d": NUMBER_PATTERN,
    b"r": re.compile(rb"[01]"),
    b"units": re.compile(rb"\d{1,6}(\.\d{1,9})?"),
    b"spread": NUMBER_PATTERN, b"first": NUMBER_PATTERN,
}  # fmt: skip
RESUME_PARAMETERS = {b"back": re.compile(rb"[01]")}  # resumes a request of another instance, if configured


class AnswerWriter(Protocol):
    """A connection that answers its calls in order."""

    def set_reply(self, call: Call, reply: bytes | Stream) -> None:
        """Set the answer to a call; it is written when it is next in order."""

    def flush(self) -> None:
        """Write the answers that are next in order."""

    def has_left(self) -> bool:
        """Whether the client has disconnected, even if that has not been read yet."""


class InvalidCall(ValueError):
    """A client's command is not a valid call; the message is sent as the answer."""


@dataclass(frozen=True, slots=True)
class CallRules:
    """The classes, plans and limits that calls of this deployment are checked against."""

    classes: dict[bytes, int]
    unsafe: tuple[bool, ...]  # by class: must not be repeated
    plans: dict[bytes, int]
    max_units: float
    gateways: int  # number of addresses that clients know
    workers: int = 1  # instances behind each address
    patterns: Mapping[bytes, re.Pattern[bytes]] = field(default_factory=lambda: PARAMETERS)  # by name
    max_unread_wait: float = MAX_DEFERRAL  # seconds for which commands are left unread behind a large value

    @classmethod
    def from_settings(
        cls, settings: Settings, names: Names, workers: int = 1, back: bool = False
    ) -> CallRules:
        """Build from settings; `workers` instances share an address. `back`: clients may resume requests."""
        shortest_deadline = min(c.deadline for c in settings.classes) / 1e6
        return cls(
            {name.encode(): number for name, number in names.classes.items()},
            tuple(c.effect is not Effect.REPEATABLE for c in settings.classes),
            {name.encode(): number for name, number in names.plans.items()},
            settings.units_top,
            settings.fleet_size // workers,
            workers,
            PARAMETERS | RESUME_PARAMETERS if back else PARAMETERS,
            min(MAX_DEFERRAL, UNREAD_FRACTION * shortest_deadline),
        )


class Call:
    """One command of a client, from reading it to answering it."""

    streams = True
    counted = sent = seeks = False
    mark = b""
    __slots__ = ("back", "cls", "connection", "customer", "deadline", "first", "held", "id", "patience",
                 "plan", "reply", "request", "reserved", "retry", "spread", "strings", "time_left",
                 "units")  # fmt: skip

    def __init__(self, connection: AnswerWriter) -> None:
        self.connection = connection
        self.reply: bytes | Stream | None = None
        self.request = 0  # number given by the engine; 0 if the engine never accepted the call
        self.strings: list[bytes] = []
        self.held = 0  # bytes that count as held for this command and its answer
        self.reserved = 0  # those among them that stand for the answer until it comes
        self.deadline = 0.0  # loop time until which its client waits
        self.time_left = 0.0  # seconds until then when a large value began to arrive for it

    def parse(self, strings: list[bytes], terms: CallRules) -> None:
        """Parse a command, or raise InvalidCall. Servers are sent nothing that is not checked here."""
        if len(strings) != ARITY[strings[0]]:
            raise InvalidCall("wrong number of arguments")
        parameters: dict[bytes, bytes] = {}
        for item in strings[3].split(b","):
            name, _, value = item.partition(b"=")
            if (
                name in parameters
                or (pattern := terms.patterns.get(name)) is None
                or not pattern.fullmatch(value)
            ):
                raise InvalidCall("bad list")
            parameters[name] = value
        try:
            self.cls, self.plan = terms.classes[parameters[b"c"]], terms.plans[parameters[b"t"]]
            self.patience = int(parameters[b"d"])
        except KeyError:
            raise InvalidCall("missing or unknown class, plan or d") from None
        if terms.unsafe[self.cls] is not (strings[0] == b"CALL.POST"):
            raise InvalidCall("wrong command for the class")
        if not CUSTOMER_PATTERN.fullmatch(strings[1]) or (customer := int(strings[1], 16)) >= MAX_CUSTOMERS:
            raise InvalidCall("bad customer")
        if not ID_PATTERN.fullmatch(strings[2]):
            raise InvalidCall("bad id")
        self.customer, self.id, self.strings = customer, strings[2], strings
        self.units = float(parameters.get(b"units", 1))
        self.spread, self.first = int(parameters.get(b"spread", 1)), int(parameters.get(b"first", 0))
        self.retry, self.back = parameters.get(b"r") == b"1", parameters.get(b"back") == b"1"
        in_range = 1 <= self.spread <= terms.gateways and self.first < terms.gateways
        if not (0 < self.units <= terms.max_units and self.patience > 0 and in_range):
            raise InvalidCall("number out of range")
        # Any worker of a gateway may get the request: count workers, not gateways.
        self.spread, self.first = self.spread * terms.workers, self.first * terms.workers

    def portable(self) -> tuple[bytes, ...]:
        """Return the command's strings."""
        return tuple(self.strings)

    def command(self, wait: int) -> bytes:
        """Return the command for a server; `wait` is how long the gateway waits, in microseconds."""
        return commands.command(self.strings, wait)

    def exchange(self, wait: int) -> Exchange:
        """Return the same request for a box that speaks HTTP."""
        return commands.exchange(self.strings, wait)

    def has_left(self) -> bool:
        """Whether its client has disconnected."""
        return self.connection.has_left()

    def served(self, value: bytes | Stream, again: bool = False) -> None:
        """Answer with a server's value."""
        self._answer(value if isinstance(value, Stream) else b"$%d\r\n%b\r\n" % (len(value), value))

    def refused(self, wait: int) -> None:
        """Answer that the client may retry, after `wait` microseconds if not 0."""
        self._answer(b"-BUSY %d\r\n" % math.ceil(wait / 1_000) if wait > 0 else b"-BUSY\r\n")

    def failed(self) -> None:
        """Answer that the request failed."""
        self._answer(FAILED)

    def unknown(self) -> None:
        """Answer that the request may have run and will not be run again."""
        self._answer(b"-UNKNOWN it may have run, and is not run again\r\n")

    def clash(self) -> None:
        """Answer that its id is in use by another request."""
        self._answer(b"-ERR the id is taken\r\n")

    def _answer(self, reply: bytes | Stream) -> None:
        self.connection.set_reply(self, reply)
        self.request = 0
        self.connection.flush()

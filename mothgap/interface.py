"""What a gateway tells mothgap (events), what it is told to do (actions), and the settings of a deployment.

All times and spans are whole microseconds on one monotonic clock that the gateways of a deployment share.
Requests, servers and customers are named by ids that carry no meaning. Nothing is decided in this file.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import TypeAlias


class SettingsError(ValueError):
    """A setting is missing or makes no sense; the message names it."""


class EventError(RuntimeError):
    """The handling of an event went wrong, by a fault of the decision module; its cause is chained."""

    def __init__(self, event: str, request: int | None, actions: list[Action]) -> None:
        """`event`: its kind. `request`: the open one that it was about. `actions`: decided by then."""
        super().__init__(f"the decision module could not handle {event}")
        self.request, self.actions = request, actions


class Effect(Enum):
    """What happens when a request of a class runs twice."""

    REPEATABLE = "repeatable"  # nothing: it may run any number of times
    KEYED = "keyed"  # servers of one group drop the repeat, for a time
    ONCE = "once"  # harm: it must not run twice


class Group(Enum):
    """Which servers know each other's keys, so that each drops a repeat of what another ran."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error; it may have run
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; it may have run, or be running
    CONNECT_FAILED = "connect failed"  # never reached the server
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # called off by this gateway; it may have run
    NOT_SENT = "not sent"  # no byte went out: the request was over, or out of attempts, or the server leaving

    @property
    def never_ran(self) -> bool:
        """True where the result proves that nothing was done."""
        return self in (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT)


class State(IntEnum):
    """A server's state in the list of servers."""

    GONE = 1
    READY = 2
    DRAINING = 3


class Cause(Enum):
    """Why a request ended without an answer of a server; for the operators, nothing is decided by it."""

    NO_TIME = "no time"  # it came too late for a call and an answer
    QUOTA = "quota"  # its customer has no room in its quota
    CEILING = "ceiling"  # this gateway's part of the plan's ceiling, or of what may be open at once, is used
    ROOM = "room"  # the servers hold all that they may, or none may be sent to
    ATTEMPTS = "attempts"  # attempts were made, and no further one is allowed or in time
    STOPPING = "stopping"  # it came so late in a shutdown that nothing is promised any more


class ListKind(IntEnum):
    """What a message of the list of servers holds."""

    CHANGES = 0
    FULL = 1
    CACHED = 2  # the whole list as this gateway last held it, perhaps stale
    FAILED = 3  # a call to the list service failed; no entries


# --- settings -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

    effect: Effect
    aim: int  # an answer within this span earns the full worth
    deadline: int  # the client's whole patience, all tries together
    worth: float
    late_worth: float = 0.0  # part of the worth that an answer after the aim earns
    group: Group = Group.ALL  # for KEYED
    key_memory: int = 0  # for KEYED: how long servers remember a key, from the first send that may have run
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """What a customer on this plan may use, over all gateways together. A rate or limit of 0 means none."""

    rate: float = 0.0  # units a second
    burst: float = 0.0  # most units in the bucket, which starts full
    concurrency: int = 0  # attempts out at once
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0  # how far below nothing the ceiling's bucket may go
    price: float = 1.0  # factor on a request's worth
    beyond_worth: float = 0.0  # part of its worth that a request sent on beyond the quota earns
    beyond_cost: float = 0.0  # part of its worth that sending it on beyond the quota costs


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows a gateway."""

    max_attempts: int = 1
    second_copies: bool = False  # two attempts of one request may be out together
    may_cancel: bool = False
    may_probe: bool = False
    peers: bool = False  # gateways may send each other messages
    retry_after: bool = True  # clients are told how long to wait
    max_retry_after: int = 1_000_000
    connect_timeout: int = 250_000


@dataclass(frozen=True, slots=True)
class Safety:
    """The figures of the rules."""

    answer_slack: int = 0
    drain_grace: int = 0
    cold_from: float = 1.0  # part of its capacity that a server starts with, or more
    cold_span: int = 0  # after this it is warm
    fall_multiple: float = 1.0  # sent more than this times its present capacity...
    fall_span: int = 0  # ...over this span, a cold server falls over
    ask_within: int = 0  # where the list must be asked for: how often at least


@dataclass(frozen=True, slots=True)
class Counter:
    """The shared counter service."""

    time_limit: int  # a call without an answer by then ends as TIMEOUT
    price: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told of its deployment at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    fleet_size: int = 1  # gateways in all
    index: int = 0  # which of them this one is
    zone: int = 0
    tick: int = 1_000  # shortest span between two rounds of events
    limits: Limits = Limits()
    safety: Safety = Safety()
    counter: Counter | None = None
    handshake_price: float = 0.0  # what one new connection a request takes off the result
    units_top: float = 1.0  # the most units that one request counts
    units_settle: bool = False  # units are guesses; the true ones come with the answer
    weighted: bool = False  # the list's weights tell the sizes of servers
    ask_for_list: bool = False  # the list must be asked for
    marks_retries: bool = False  # clients mark their later tries
    report_fields: tuple[str, ...] = ()  # what load reports hold, in order
    report_by_probe: bool = False  # reports come only in answers to probes


# --- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request is here, and is owed one final answer."""

    id: int
    cls: int  # index into Settings.classes
    plan: int  # index into Settings.plans
    customer: int
    units: float
    time_left: int  # until the client gives this try up
    entry_points: int = 1  # gateways that this customer's requests can come through
    first_entry: int = 0  # the first of them; the rest follow in order
    retry: bool = False  # marked by the client as a repeat
    # Of a lost gateway's, which this one goes on with:
    counted: bool = False  # its units are on the counter; whether there was room for them is to be seen
    sent: bool = False  # it was sent on: there was, and they are off that gateway's part of the ceiling


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; each Send gets exactly one."""

    request: int
    attempt: int
    server: str
    result: Result
    elapsed: int
    final: bool  # the request is over, by this outcome or before it
    used_percent: int | None = None  # the customer's use over all gateways, where servers meter it
    true_units: float | None = None
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Started:
    """A streamed answer has begun: the attempt belongs to the client now."""

    request: int
    attempt: int
    server: str
    elapsed: int


@dataclass(frozen=True, slots=True)
class Counted:
    """The answer to one Count."""

    name: int
    result: Result
    elapsed: int
    total: float


@dataclass(frozen=True, slots=True)
class CountedLate:
    """The total of a Count that was told as TIMEOUT before. It may never come."""

    name: int
    amount: float
    total: float


@dataclass(frozen=True, slots=True)
class Expired:
    """The client has left; nothing is owed for this request any more."""

    request: int


@dataclass(frozen=True, slots=True)
class Unsure:
    """Another gateway may have gone on with this request: its units are not this one's to give back."""

    request: int
    unsure: bool  # false: they are again


@dataclass(frozen=True, slots=True)
class Member:
    """A line of the list of servers."""

    server: str
    state: State
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_at: int = 0  # 0: long past
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Members:
    """News of the list of servers."""

    kind: ListKind
    version: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Probed:
    """The answer to one Probe."""

    server: str
    result: Result
    elapsed: int
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another gateway says something."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    """A SetTimer has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class Share:
    """What part of its even share of ceilings this instance holds from now on; 1 at the start.

    Less hands the rest back at once, with what had been saved up in it; more starts from what is there. So
    long as the parts of all come to no more than their even shares, neither does what they let through.
    """

    part: float


@dataclass(frozen=True, slots=True)
class ZoneParts:
    """What part of each zone's servers this gateway uses from now on, 0 to 1; all of a zone not named.

    Over many gateways, that part of them uses each server. The same ones are used as a part grows or shrinks.
    """

    parts: tuple[tuple[int, float], ...]  # by zone, as `Member.zone`


@dataclass(frozen=True, slots=True)
class ClockShift:
    """How far the clock that all gateways share is ahead of this one's; counts are named by that, and starts
    of servers are told by it.

    Where no such event comes, this gateway's own clock is the shared one.
    """

    offset: int


@dataclass(frozen=True, slots=True)
class Stopping:
    """This gateway is shutting down; there is no way back. A second one can only make the times earlier.

    A request that comes from `refuse_from` on is refused. Every other one, also those that are open already,
    has its final answer by `until`: a gateway promises nothing that it will not be there to keep.
    """

    refuse_from: int
    until: int


@dataclass(frozen=True, slots=True)
class NewSettings:
    """The deployment's settings from now on.

    Classes and plans keep their places: there are at least as many as before, also where one is out of use.
    What is open ends under the class that it began with.
    """

    settings: Settings


Event: TypeAlias = (
    Request
    | Outcome
    | Started
    | Counted
    | CountedLate
    | Expired
    | Unsure
    | Members
    | Probed
    | PeerMessage
    | Timer
    | NewSettings
    | ClockShift
    | Share
    | ZoneParts
    | Stopping
)


# --- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2... by their order."""

    request: int
    server: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: no, and trying again does no harm."""

    request: int
    retry_after: int = 0
    cause: Cause = field(default=Cause.ROOM, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; says nothing of the effect."""

    request: int
    cause: Cause = field(default=Cause.ATTEMPTS, compare=False)


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named number on the counter service."""

    name: int
    amount: float
    lifetime: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event after this span."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server how it is."""

    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to another gateway, or to all."""

    to: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask the list service for changes from now on, or stop them."""

    on: bool


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask the list service for the whole list once."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action: TypeAlias = (
    Send | Cancel | Refuse | Fail | Count | SetTimer | Probe | Tell | Watch | Fetch | CloseIdle | Log
)

"""What the decision module remembers: customers, servers and the requests that are owed an answer.

Plain records with the arithmetic that is theirs alone. What is decided by them is in `mothgap/rules.py`.
"""

from __future__ import annotations

import math

from mothgap.interface import Member, Request, RequestClass
from mothgap.names import MAX_NAME_LIFETIME, SECOND

CLOCKS_AGREE = 60 * SECOND  # microseconds; news of a start is never as late as this
EDGE_MOST = 0.5  # of the burst that is kept free for what other gateways have not told yet
OTHERS_DOUBT = 2.0  # own units seen in totals at which they tell as much of the others' part as an even split
PACE_SMOOTH = 0.03  # the same for answer times: work varies as much as its mean, so some thirty must count
MEAN_SPAN = 5 * SECOND  # microseconds; over which a server's answers a second are judged: tens of answers


class Customer:
    """What this gateway knows of one customer's use. `debt` is units taken and not yet refilled, over all."""

    __slots__ = (
        "at",
        "backlog",
        "burst",
        "ceiling",
        "debt",
        "excess",
        "fill",
        "full",
        "guess",
        "here_at",
        "limit_at",
        "looks",
        "lost",
        "open",
        "over",
        "own",
        "owed",
        "rate",
        "seen_others",
        "seen_own",
        "short_at",
        "total",
        "waits",
        "window",
    )

    def __init__(self, burst: float, now: int) -> None:
        self.burst, self.debt, self.at = burst, 0.0, now
        self.window, self.total, self.own = -1, 0.0, 0.0  # window number, last total in it, own adds in it
        self.looks, self.over = 0.0, 0.0  # decisions by total, and refusals among them, fading
        self.excess = 0.0  # units in the window's totals that found no room in the burst
        self.guess = 0.0  # part of `debt` that stands for others until the next total
        self.seen_own, self.seen_others = 0.0, 0.0  # units that totals held, by whom, fading
        self.lost = 0.0  # adds in the window whose answer never came: the next total holds them
        self.owed = 0.0  # units that passed without a call: to be added with the next one
        self.backlog = 0.0  # running mean of what was owed when calls were made
        self.ceiling, self.limit_at = 0.0, 0.0  # what the ceiling allows, and where on `_filled` that was
        self.rate = 0.0  # of the quota
        self.fill, self.full = 0.0, 0.0  # what an even share of it refills a second, and holds
        self.here_at = now - MAX_NAME_LIFETIME  # when a request of it last came here
        self.short_at = now - MAX_NAME_LIFETIME  # when it was last found to have no room
        self.open = 0
        self.waits: list[OpenRequest] = []  # requests that wait for a part of the ceiling from other gateways

    def take(self, units: float) -> None:
        """The use of others, or what they have taken back: first of what was on top of the burst.

        What goes beyond a quota takes nothing from it. Guards against a debt that stays too high for as long
        as the customer asks for all that is refilled; lets through too much where takebacks are lost.
        """
        back = min(self.excess, max(0.0, -units))
        debt = max(0.0, self.debt + units + back)
        self.debt = min(debt, self.burst)
        self.excess += debt - self.debt - back

    def fits(self, units: float, spread: int, keep: float, sure: float = 0.0) -> bool:
        """There is room, but for `sure` units of the debt, beside what other gateways owe the counter.

        They are taken to owe as this one does. Guards a quota at its edge, where one unit of it unseen is one
        too many; a customer that is always there loses nothing, one that comes in bursts a part of each.
        """
        edge = min(EDGE_MOST * self.burst, self.backlog * self.others(spread) + keep)
        return self.debt - sure + units + edge <= max(self.burst, units + edge)

    def others(self, spread: int) -> float:
        """Units that others let through for each one here: as totals told, else as much at each gateway."""
        told = max(0.0, self.seen_others) + OTHERS_DOUBT * max(0, spread - 1)
        return told / (max(0.0, self.seen_own) + OTHERS_DOUBT)


class AttemptLimit:
    """How many attempts this gateway may have at a server; a fraction of one in large fleets."""

    __slots__ = ("cut_at", "most")

    def __init__(self, most: float, now: int) -> None:
        self.most, self.cut_at = most, now  # and when it was last cut


class ServerKind:
    """What servers of one kind share: a gateway of a large fleet meets each of them too seldom."""

    __slots__ = ("at", "pace", "rate", "seen")

    def __init__(self, now: int) -> None:
        self.pace, self.seen = 1.0, 0  # answer time against the usual of the class, and answers behind it
        self.rate, self.at = 0.0, now  # answers a second from all of them to this gateway, fading

    def rate_at(self, now: int) -> float:
        """Answers a second over about the last MEAN_SPAN."""
        return self.rate * math.exp((self.at - now) / MEAN_SPAN)


def _started(line: Member, now: int, shift: int) -> int:
    """When a server started, on this gateway's clock; 0: long past. It can't lie in the future."""
    return min(max(1, line.started_at - shift), now) if line.started_at else 0


class Server:
    """What this gateway knows of one server."""

    __slots__ = ("answered_at", "aside", "cold_at", "cold_left", "errors", "ghosts", "idle", "idle_at",
                 "kind", "limit", "line", "listed_at", "load", "load_at", "out", "pace", "refused", "seen",
                 "started", "trial")  # fmt: skip

    def __init__(self, line: Member, now: int, limit: AttemptLimit, kind: ServerKind, shift: int = 0) -> None:
        """`shift`: how far the clock that starts are told by is ahead of this gateway's."""
        self.line, self.limit, self.kind = line, limit, kind
        self.listed_at: int | None = None  # when its line was last told as it stood then; None: perhaps stale
        self.started = _started(line, now, shift)  # on this gateway's clock; 0: long past
        self.ghosts: list[int] = []  # when attempts were sent that were given up, but may still wait there
        self.out: dict[tuple[int, int], int] = {}  # (request, attempt) -> sent at
        self.pace, self.seen = 1.0, 0  # answer time against the usual of the class, and answers behind it
        self.errors = 0.0
        self.refused = False  # the last connection to it did not come up
        self.answered_at = now
        self.idle, self.idle_at = 0, now  # connections that carry nothing, as far as answers tell; when last
        self.aside, self.trial = False, 0  # set aside; when it may be tried next
        self.load, self.load_at = 0.0, now
        self.cold_left, self.cold_at = 0.0, now

    def restarted(self, line: Member, now: int, shift: int = 0) -> None:
        """It has started again: nothing that was seen of it holds any more.

        The list tells the start by another machine's wall clock, which may have been stepped, as may have
        been this one's before this process began. It can't lie in the future, nor before the list last told
        of the start that preceded it: then the clocks disagree, and it counts as now.
        """
        self.aside, self.errors, self.pace, self.seen = False, 0.0, 1.0, 0
        self.ghosts = []
        self.started = _started(line, now, shift)
        if self.listed_at is not None and 0 < self.started < self.listed_at - CLOCKS_AGREE:
            self.started = now

    def told_by(self, now: int, shift: int) -> None:
        """The clock that starts are told by is known anew: it may be younger than it seemed, never older."""
        self.started = max(self.started, _started(self.line, now, shift))

    def held(self, since: int) -> int:
        """Attempts that are out, or given up but perhaps still there if sent later than `since`."""
        return len(self.out) + (sum(ghost > since for ghost in self.ghosts) if self.ghosts else 0)

    def silent(self, now: int, since: int) -> bool:
        """No answer of any kind since then."""
        return self.answered_at <= since < now

    def put_aside(self, now: int, span: int) -> None:
        """Leave it alone, but for one trial after each span."""
        self.aside, self.trial = True, now + span

    def count_pace(self, pace: float, answered: bool, now: int) -> None:
        """One more answer time, or a part of one, of this server and its kind."""
        for known in (self, self.kind):
            known.seen += 1
            known.pace += max(PACE_SMOOTH, 1.0 / known.seen) * (pace - known.pace)
        if answered:
            self.kind.rate, self.kind.at = self.kind.rate_at(now) + SECOND / MEAN_SPAN, now


class OpenRequest:
    """A request that is owed its final answer."""

    __slots__ = (
        "added",
        "aim_at",
        "asks",
        "attempts",
        "cls",
        "customer",
        "deadline",
        "held",
        "live",
        "ran",
        "request",
        "unsent",
        "unsure",
    )

    def __init__(self, request: Request, cls: RequestClass, customer: Customer, now: int) -> None:
        self.request, self.cls, self.customer = request, cls, customer
        self.deadline, self.aim_at = now + request.time_left, now + min(cls.aim, request.time_left)
        self.attempts = 0
        self.live: dict[int, tuple[Server, int]] = {}  # attempts that are out: server and when sent
        self.ran: list[tuple[Member, int]] = []  # attempts that may have run: where and when sent
        self.held = True  # waiting for its total
        self.added = 0.0  # what was added to the count for it
        self.asks = 0  # gateways asked for a part of the ceiling
        self.unsent = 0  # attempts that count for nothing, as no byte of them went out
        self.unsure = False  # another gateway may have gone on with it, with its units

    def end_by(self, until: int) -> None:
        """Its answer is due by then, whatever its client would wait for."""
        self.deadline, self.aim_at = min(self.deadline, until), min(self.aim_at, until)

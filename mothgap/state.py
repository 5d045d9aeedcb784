"""State of the decision module: customers, servers and open requests.

Plain records with the arithmetic that concerns them alone. The decisions are made in `mothgap/rules.py`.
"""

from __future__ import annotations

import math

from mothgap.interface import Member, Request, RequestClass
from mothgap.names import MAX_NAME_LIFETIME, SECOND

# Microseconds; news of a server's start never arrives later than this.
CLOCK_TOLERANCE = 60 * SECOND
# Maximum share of the burst that is kept free for units that other gateways have not reported yet.
MAX_EDGE_RESERVE = 0.5
# Own units in totals at which totals weigh as much as the assumption of an even split between gateways.
OTHERS_PRIOR_UNITS = 2.0
# Weight of a new sample in a slow moving average, as of answer times: work varies as much as its mean, so
# about thirty samples must count.
SLOW_SMOOTHING = 0.03
# Microseconds over which a server's answer rate is averaged: tens of answers.
AVERAGING_TIME = 5 * SECOND


class Customer:
    """What this gateway knows of one customer's use of its quota, a token bucket of `burst` units.

    `debt` is the number of units taken and not yet refilled, over all gateways.
    """

    __slots__ = (
        "updated_at",
        "mean_pending",
        "burst",
        "ceiling_units",
        "debt",
        "excess",
        "ceiling_refill_rate",
        "ceiling_capacity",
        "estimated_other_units",
        "last_request_at",
        "ceiling_refill_mark",
        "recent_decisions",
        "unconfirmed",
        "open_requests",
        "recent_refusals",
        "own_total",
        "pending",
        "quota_rate",
        "recent_others",
        "recent_own",
        "last_no_room_at",
        "total",
        "waiting",
        "count_name",
    )

    def __init__(self, burst: float, now: int) -> None:
        self.burst, self.debt, self.updated_at = burst, 0.0, now
        # Current window's count, its last total, own units in it.
        self.count_name, self.total, self.own_total = -1, 0.0, 0.0
        # Decisions by total and refusals among them, decaying.
        self.recent_decisions, self.recent_refusals = 0.0, 0.0
        self.excess = 0.0  # units in the window's totals that found no room in the burst
        self.estimated_other_units = 0.0  # part of `debt` that stands for other gateways until the next total
        self.recent_own, self.recent_others = 0.0, 0.0  # own and others' units in totals, decaying
        self.unconfirmed = 0.0  # increments in the window whose answer never came: the next total shows them
        self.pending = 0.0  # units that passed without a call, to be added with the next one
        self.mean_pending = 0.0  # moving average of `pending` when calls were made
        # Units left in this gateway's share of the ceiling, and the value of `Gateway._ceiling_refilled` at
        # its last refill.
        self.ceiling_units, self.ceiling_refill_mark = 0.0, 0.0
        self.quota_rate = 0.0  # units a second
        # Of an even share of the ceiling; the rate in units a second.
        self.ceiling_refill_rate, self.ceiling_capacity = 0.0, 0.0
        self.last_request_at = now - MAX_NAME_LIFETIME  # when a request of the customer last arrived here
        self.last_no_room_at = now - MAX_NAME_LIFETIME  # when it was last found to have no room
        self.open_requests = 0
        self.waiting: list[OpenRequest] = []  # waiting for ceiling units from other gateways

    def apply_others(self, units: float) -> None:
        """Apply units that other gateways have added, or refunded if negative: these reduce the excess first.

        Units beyond the burst go to the excess and not to the debt. This prevents a debt that stays too high
        for as long as the customer asks for all that is refilled; it lets too much through where refunds are
        lost.
        """
        refund = min(self.excess, max(0.0, -units))
        debt = max(0.0, self.debt + units + refund)
        self.debt = min(debt, self.burst)
        self.excess += debt - self.debt - refund

    def has_room(self, units: float, entry_points: int, reserve: float, uncertain: float = 0.0) -> bool:
        """Whether there is room beside the units that other gateways have not added to the count yet.

        `uncertain` units of the debt are left out; `entry_points` is the number of gateways that the
        customer's requests can come through. Other gateways are assumed to have as much pending as this
        one. This protects a quota at its limit, where one unseen unit is one too many; a customer that is
        always active loses nothing, one that comes in bursts loses a part of each.
        """
        edge = min(
            MAX_EDGE_RESERVE * self.burst,
            self.mean_pending * self.others_per_own_unit(entry_points) + reserve,
        )
        return self.debt - uncertain + units + edge <= max(self.burst, units + edge)

    def others_per_own_unit(self, entry_points: int) -> float:
        """Units that other gateways let through per unit here: from totals, with an even split as prior."""
        others = max(0.0, self.recent_others) + OTHERS_PRIOR_UNITS * max(0, entry_points - 1)
        return others / (max(0.0, self.recent_own) + OTHERS_PRIOR_UNITS)


class AttemptLimit:
    """Adaptive limit on the attempts that this gateway may have in flight at a server.

    It is a fraction of an attempt in large fleets.
    """

    __slots__ = ("lowered_at", "max_in_flight")

    def __init__(self, max_in_flight: float, now: int) -> None:
        self.max_in_flight, self.lowered_at = max_in_flight, now  # when it was last lowered


class ServerKind:
    """Statistics that servers of one kind share: a gateway of a large fleet uses each server too seldom."""

    __slots__ = ("rate_updated_at", "relative_latency", "answer_rate", "samples")

    def __init__(self, now: int) -> None:
        # Answer time relative to the usual one of the class, and the answers behind it.
        self.relative_latency, self.samples = 1.0, 0
        # Answers a second from all of them to this gateway, decaying.
        self.answer_rate, self.rate_updated_at = 0.0, now

    def answer_rate_at(self, now: int) -> float:
        """Answers a second, averaged over about the last AVERAGING_TIME."""
        return self.answer_rate * math.exp((self.rate_updated_at - now) / AVERAGING_TIME)


def _local_start_time(member: Member, now: int, clock_shift: int) -> int:
    """A server's start time on this gateway's clock, never in the future; 0: long past."""
    return min(max(1, member.started_at - clock_shift), now) if member.started_at else 0


class Server:
    """What this gateway knows of one server."""

    __slots__ = (
        "answered_at",
        "ejected",
        "cold_refilled_at",
        "cold_tokens",
        "error_rate",
        "abandoned",
        "idle_connections",
        "idle_updated_at",
        "kind",
        "limit",
        "member",
        "listed_at",
        "load",
        "load_updated_at",
        "in_flight",
        "relative_latency",
        "connect_refused",
        "samples",
        "started_at",
        "next_trial_at",
    )

    def __init__(
        self, member: Member, now: int, limit: AttemptLimit, kind: ServerKind, clock_shift: int = 0
    ) -> None:
        """`clock_shift`: how far the shared clock, used for start times, is ahead of this gateway's."""
        self.member, self.limit, self.kind = member, limit, kind
        self.listed_at: int | None = None  # when the list last confirmed its entry; None: perhaps stale
        self.started_at = _local_start_time(member, now, clock_shift)  # on this gateway's clock; 0: long past
        self.abandoned: list[int] = []  # send times of abandoned attempts, which may still wait there
        self.in_flight: dict[tuple[int, int], int] = {}  # (request, attempt) -> send time
        # Answer time relative to the usual one of the class, and the answers behind it.
        self.relative_latency, self.samples = 1.0, 0
        self.error_rate = 0.0
        self.connect_refused = False  # the last connection to it could not be opened
        self.answered_at = now
        self.idle_connections, self.idle_updated_at = 0, now  # as far as answers show; last answer
        self.ejected, self.next_trial_at = False, 0  # when ejected: the time from which it may be tried
        self.load, self.load_updated_at = 0.0, now
        self.cold_tokens, self.cold_refilled_at = 0.0, now

    def reset_after_restart(self, member: Member, now: int, clock_shift: int = 0) -> None:
        """The server has restarted: discard what was observed of it.

        The list gives the start time by another machine's wall clock, which may have been stepped, as may
        this machine's clock before this process began. The start can't lie in the future, nor before the time
        at which the list last confirmed the previous start. Where it does, the clocks disagree, and the start
        counts as now.
        """
        self.ejected, self.error_rate, self.relative_latency, self.samples = False, 0.0, 1.0, 0
        self.abandoned = []
        self.started_at = _local_start_time(member, now, clock_shift)
        if self.listed_at is not None and 0 < self.started_at < self.listed_at - CLOCK_TOLERANCE:
            self.started_at = now

    def update_clock_shift(self, now: int, clock_shift: int) -> None:
        """Apply a new offset of the shared clock: the server may be younger than assumed, never older."""
        self.started_at = max(self.started_at, _local_start_time(self.member, now, clock_shift))

    def occupancy(self, since: int) -> int:
        """Attempts in flight, plus abandoned ones sent later than `since`, which may still be there."""
        return len(self.in_flight) + (
            sum(sent_at > since for sent_at in self.abandoned) if self.abandoned else 0
        )

    def is_silent(self, now: int, since: int) -> bool:
        """Whether no answer of any kind has arrived since then."""
        return self.answered_at <= since < now

    def eject(self, now: int, duration: int) -> None:
        """Send it nothing more, but for one trial after each such duration."""
        self.ejected, self.next_trial_at = True, now + duration

    def record_latency(self, relative_latency: float, answered: bool, now: int) -> None:
        """Record an answer time, or the part of one that has passed, for this server and its kind."""
        for stats in (self, self.kind):
            stats.samples += 1
            stats.relative_latency += max(SLOW_SMOOTHING, 1.0 / stats.samples) * (
                relative_latency - stats.relative_latency
            )
        if answered:
            self.kind.answer_rate, self.kind.rate_updated_at = (
                self.kind.answer_rate_at(now) + SECOND / AVERAGING_TIME,
                now,
            )


class OpenRequest:
    """A request without a final answer yet, in `mothgap/rules.py` always called `job`."""

    __slots__ = (
        "counted_units",
        "aim_at",
        "peers_asked",
        "attempts",
        "cls",
        "customer",
        "deadline",
        "awaiting_total",
        "in_flight",
        "possibly_ran",
        "request",
        "unsent_attempts",
        "unsure",
    )

    def __init__(self, request: Request, cls: RequestClass, customer: Customer, now: int) -> None:
        self.request, self.cls, self.customer = request, cls, customer
        self.deadline, self.aim_at = now + request.time_left, now + min(cls.aim, request.time_left)
        self.attempts = 0
        self.in_flight: dict[int, tuple[Server, int]] = {}  # by attempt number: server and send time
        self.possibly_ran: list[tuple[Member, int]] = []  # attempts that may have run: server and send time
        self.awaiting_total = True
        self.counted_units = 0.0  # units added to the count for it
        self.peers_asked = 0  # gateways asked for ceiling units
        self.unsent_attempts = 0  # attempts that do not count, as no byte of them was sent
        self.unsure = False  # another gateway may have resumed it, with its units

    def cap_deadline(self, until: int) -> None:
        """Cap its deadline, whatever its client would wait for."""
        self.deadline, self.aim_at = min(self.deadline, until), min(self.aim_at, until)

"""Gateways lend each other shares of ceilings: the messages, and which replies are accepted.

Each gateway through which a customer's requests arrive holds an even share of the customer's ceiling.
Requests arrive unevenly: a gateway whose share is used up asks others for units that they have saved up and
do not need. The lender takes the units off its own share before it replies. The borrower accepts only the
first reply to its own request, from the gateway that it asked, within REPLY_TIMEOUT. So units can be lost in
transit but never duplicated, and the counter is not involved. A reply that is still in transit could let
more through than the ceiling allows, by what is refilled meanwhile; that much of the ceiling is kept out of
every share (`reserved_units`).
"""

from __future__ import annotations

import random
import struct
from collections import OrderedDict
from dataclasses import dataclass

from mothgap.interface import Plan, Tell

SECOND = 1_000_000  # microseconds
VERSION = 1  # of the message format; messages of other versions are ignored
REQUEST_CODE, REPLY_CODE = 1, 2
REPLY_TIMEOUT = 100_000  # microseconds in which a reply to a request is accepted; a round trip is shorter
# Share of requests that must be answered in time; units that arrive too late are lost to all gateways.
MIN_ANSWERED_SHARE = 0.6
ANSWERED_SMOOTHING = 0.1  # weight of the latest request in the running share of answered requests
TRIAL_SHARE = 0.05  # share of requests that are still sent while fewer are answered in time
MAX_PENDING = 4096  # pending requests; the oldest are evicted, and their replies lost
PARTS_PER_UNIT = 1_000  # messages carry units as whole thousandths
_REQUEST_FORMAT, _REPLY_FORMAT = struct.Struct("<BBQIIBHH"), struct.Struct("<BBQII")


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A gateway asks for units of a customer's ceiling."""

    customer: int
    loan_id: int  # random; the reply repeats it
    units: float
    plan: int
    entry_points: int  # number of gateways through which the customer's requests arrive
    first_entry: int  # number of the first of them


@dataclass(frozen=True, slots=True)
class LoanReply:
    """Units that have been taken off the sender's share; 0 where it has none to lend."""

    customer: int
    loan_id: int
    units: float


def reserved_units(plan: Plan) -> float:
    """Units of the ceiling that no gateway may save up, so that replies in transit can't exceed it."""
    return max(0.0, plan.ceiling_rate * REPLY_TIMEOUT / SECOND - plan.ceiling_slack)


def is_entry_point(number: int, first: int, spread: int, fleet: int) -> bool:
    """Whether a gateway is one of the `spread` gateways from `first` on, modulo the size of the fleet."""
    return 0 <= number < fleet and (number - first) % fleet < spread


def decode(data: bytes) -> LoanRequest | LoanReply | None:
    """Decode a message; None where it is truncated, malformed or of another version."""
    if len(data) == _REQUEST_FORMAT.size and data[0] == VERSION and data[1] == REQUEST_CODE:
        _, _, customer, loan_id, parts, plan, spread, first = _REQUEST_FORMAT.unpack(data)
        return LoanRequest(customer, loan_id, parts / PARTS_PER_UNIT, plan, spread, first)
    if len(data) == _REPLY_FORMAT.size and data[0] == VERSION and data[1] == REPLY_CODE:
        _, _, customer, loan_id, parts = _REPLY_FORMAT.unpack(data)
        return LoanReply(customer, loan_id, parts / PARTS_PER_UNIT)
    return None


def encode(message: LoanRequest | LoanReply) -> bytes:
    """Encode a message in at most 23 bytes.

    Units are rounded down, so that no more arrives than was taken off the lender's share.
    """
    parts, m = int(message.units * PARTS_PER_UNIT), message
    if isinstance(m, LoanRequest):
        return _REQUEST_FORMAT.pack(
            VERSION, REQUEST_CODE, m.customer, m.loan_id, parts, m.plan, m.entry_points, m.first_entry
        )
    return _REPLY_FORMAT.pack(VERSION, REPLY_CODE, m.customer, m.loan_id, parts)


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request for units that has not been answered."""

    customer: int
    lender: int
    units: float
    expires_at: int


class PendingLoans:
    """This gateway's pending requests for units."""

    def __init__(self, index: int, rng: random.Random) -> None:
        self._index, self._rng = index, rng
        self._pending: OrderedDict[int, _PendingRequest] = OrderedDict()
        self._pending_by_customer: dict[int, int] = {}
        self._answered_share = 1.0  # running share of requests that were answered in time

    def count_pending(self, customer: int, now: int) -> int:
        """The number of a customer's requests that may still be answered; removes expired ones."""
        while self._pending and next(iter(self._pending.values())).expires_at < now:
            self._remove(next(iter(self._pending)))
            self._answered_share -= ANSWERED_SMOOTHING * self._answered_share
        return self._pending_by_customer.get(customer, 0)

    def request(self, wanted: LoanRequest, fleet: int, now: int) -> Tell | None:
        """A request with a new id to a random gateway of the customer; None where none is to be sent now."""
        # This gateway's position among the customer's gateways, if it is one of them.
        own_position = (self._index - wanted.first_entry) % fleet
        candidates = wanted.entry_points - (own_position < wanted.entry_points)
        if candidates < 1 or (
            self._answered_share < MIN_ANSWERED_SHARE and self._rng.random() >= TRIAL_SHARE
        ):
            return None
        lender = int(self._rng.random() * candidates)
        lender = (wanted.first_entry + lender + (lender >= own_position)) % fleet
        loan_id = self._rng.getrandbits(32)
        if loan_id in self._pending:
            return None
        if len(self._pending) >= MAX_PENDING:
            self._remove(next(iter(self._pending)))
        self._pending[loan_id] = _PendingRequest(wanted.customer, lender, wanted.units, now + REPLY_TIMEOUT)
        self._pending_by_customer[wanted.customer] = self._pending_by_customer.get(wanted.customer, 0) + 1
        return Tell(
            lender,
            encode(
                LoanRequest(
                    wanted.customer,
                    loan_id,
                    wanted.units,
                    wanted.plan,
                    wanted.entry_points,
                    wanted.first_entry,
                )
            ),
        )

    def accept_reply(self, reply: LoanReply, sender: int, now: int) -> float | None:
        """Units that a reply brings; None where it is unrequested, from another gateway, or too late."""
        request = self._pending.get(reply.loan_id)
        if request is None or request.lender != sender or request.customer != reply.customer:
            return None
        if now > request.expires_at:
            return None
        self._remove(reply.loan_id)
        self._answered_share += ANSWERED_SMOOTHING * (1.0 - self._answered_share)
        return min(reply.units, request.units)

    def _remove(self, loan_id: int) -> None:
        customer = self._pending.pop(loan_id).customer
        remaining = self._pending_by_customer[customer] - 1
        if remaining:
            self._pending_by_customer[customer] = remaining
        else:
            del self._pending_by_customer[customer]

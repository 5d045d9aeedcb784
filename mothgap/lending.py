"""Parts of ceilings that gateways lend each other: the messages, and which of them may be believed.

Each gateway that a customer's requests come through holds an even part of the customer's ceiling. Requests
come unevenly: where one gateway's part is used up, it asks others for what they have saved up and do not
need. The giver takes the units off its own part before it tells; the asker takes them only as the first
answer to its own question, from the gateway that it asked, and soon after it asked. So units can be lost on
the way, and never double; the counter has no say in it. What still comes late would let more through than the
ceiling by what is refilled meanwhile: that much is kept free of every part (`held_back`).
"""

from __future__ import annotations

import random
import struct
from collections import OrderedDict
from dataclasses import dataclass

from mothgap.interface import Plan, Tell

SECOND = 1_000_000  # microseconds
VERSION = 1  # of the messages; others are not read
ASK, GIVE = 1, 2
LIFE = 100_000  # microseconds from the question in which an answer counts; the way there and back takes less
HEARD_LEAST = 0.6  # of the questions that must be answered in time: what is given in vain is lost to all
HEARD_SMOOTH = 0.1  # share of the last question in that
TRIAL = 0.05  # of the questions are asked where fewer are
MOST_OUT = 4096  # questions remembered; the oldest are forgotten, and their answers lost
PARTS = 1_000  # of a unit, in which messages count
_ASK, _GIVE = struct.Struct("<BBQIIBHH"), struct.Struct("<BBQII")


@dataclass(frozen=True, slots=True)
class Ask:
    """A gateway wants units of a customer's ceiling."""

    customer: int
    number: int  # of the question; its answer repeats it
    units: float
    plan: int
    spread: int  # gateways that the customer's requests come through
    first: int  # the first of them


@dataclass(frozen=True, slots=True)
class Give:
    """Units that have been taken off the sender's part; 0 where it has none to give."""

    customer: int
    number: int
    units: float


def held_back(plan: Plan) -> float:
    """Units of the ceiling that nobody may save up, so that answers on the way can't pass it."""
    return max(0.0, plan.ceiling_rate * LIFE / SECOND - plan.ceiling_slack)


def in_set(number: int, first: int, spread: int, fleet: int) -> bool:
    """Whether a gateway is one of the `spread` from `first` on, counted round."""
    return 0 <= number < fleet and (number - first) % fleet < spread


def read(data: bytes) -> Ask | Give | None:
    """A message, or None where it is torn, of another version, or makes no sense."""
    if len(data) == _ASK.size and data[0] == VERSION and data[1] == ASK:
        _, _, customer, number, parts, plan, spread, first = _ASK.unpack(data)
        return Ask(customer, number, parts / PARTS, plan, spread, first)
    if len(data) == _GIVE.size and data[0] == VERSION and data[1] == GIVE:
        _, _, customer, number, parts = _GIVE.unpack(data)
        return Give(customer, number, parts / PARTS)
    return None


def write(message: Ask | Give) -> bytes:
    """A message's bytes, at most 23. Units are rounded down: no more may arrive than was taken off."""
    parts, m = int(message.units * PARTS), message
    if isinstance(m, Ask):
        return _ASK.pack(VERSION, ASK, m.customer, m.number, parts, m.plan, m.spread, m.first)
    return _GIVE.pack(VERSION, GIVE, m.customer, m.number, parts)


@dataclass(frozen=True, slots=True)
class _Question:
    """One that has not been answered."""

    customer: int
    to: int
    units: float
    until: int


class Questions:
    """What this gateway has asked and still hopes for."""

    def __init__(self, index: int, chance: random.Random) -> None:
        self._index, self._chance = index, chance
        self._out: OrderedDict[int, _Question] = OrderedDict()
        self._hoped: dict[int, int] = {}  # by customer: questions that are out
        self._heard = 1.0  # share of the questions that were answered in time

    def out(self, customer: int, now: int) -> int:
        """Questions for a customer that may still be answered."""
        while self._out and next(iter(self._out.values())).until < now:
            self._forget(next(iter(self._out)))
            self._heard -= HEARD_SMOOTH * self._heard
        return self._hoped.get(customer, 0)

    def ask(self, ask: Ask, fleet: int, now: int) -> Tell | None:
        """Ask one of the customer's gateways, drawn by chance; its number is set here. None: not now."""
        own = (self._index - ask.first) % fleet  # its place among them, if it is one of them
        others = ask.spread - (own < ask.spread)
        if others < 1 or (self._heard < HEARD_LEAST and self._chance.random() >= TRIAL):
            return None
        place = int(self._chance.random() * others)
        place = (ask.first + place + (place >= own)) % fleet
        number = self._chance.getrandbits(32)
        if number in self._out:
            return None
        if len(self._out) >= MOST_OUT:
            self._forget(next(iter(self._out)))
        self._out[number] = _Question(ask.customer, place, ask.units, now + LIFE)
        self._hoped[ask.customer] = self._hoped.get(ask.customer, 0) + 1
        return Tell(place, write(Ask(ask.customer, number, ask.units, ask.plan, ask.spread, ask.first)))

    def answered(self, give: Give, sender: int, now: int) -> float | None:
        """Units that an answer brings; None where nobody asked, another was asked, or it comes too late."""
        question = self._out.get(give.number)
        if question is None or question.to != sender or question.customer != give.customer:
            return None
        if now > question.until:
            return None
        self._forget(give.number)
        self._heard += HEARD_SMOOTH * (1.0 - self._heard)
        return min(give.units, question.units)

    def _forget(self, number: int) -> None:
        customer = self._out.pop(number).customer
        left = self._hoped[customer] - 1
        if left:
            self._hoped[customer] = left
        else:
            del self._hoped[customer]

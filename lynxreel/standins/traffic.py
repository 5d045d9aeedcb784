"""Who asks for what and when, without I/O: drawn from a seed, for a rate of first tries."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from lynxreel.standins.ledger import Quota

STEADY, NEAR, BEYOND = (0.2, 0.6), (0.85, 0.95), (2.0, 4.7)  # of its quota, what a customer asks for
KINDS = ((STEADY, 0.75), (NEAR, 0.15), (BEYOND, 0.10))  # and how many do


@dataclass(frozen=True)
class Class:
    """A class of requests, as clients know it. Times are seconds."""

    name: str
    unsafe: bool
    share: float
    units: float
    deadline: float
    keyed: bool = False  # a repeat under its key does not run again


@dataclass(frozen=True)
class Customer:
    """Who asks: `rate` first tries a second, through `spread` gateways from number `first`."""

    number: int
    plan: str
    rate: float
    spread: int
    first: int


@dataclass(frozen=True)
class Wish:
    """One first try: `at` seconds from the start, given up after `patience` seconds."""

    at: float
    customer: Customer
    cls: Class
    patience: float


def customers(
    seed: int, rate: float, quotas: dict[str, Quota], classes: list[Class], gateways: int
) -> list[Customer]:
    """As many as it takes for about `rate` first tries a second."""
    draw = random.Random(seed)
    units = sum(cls.share * cls.units for cls in classes) / sum(cls.share for cls in classes)
    plans = [(name, quota) for name, quota in quotas.items() if quota.rate > 0]
    found: list[Customer] = []
    left = rate
    while left > 0:
        name, quota = draw.choice(plans)
        low, high = draw.choices([kind for kind, _ in KINDS], [share for _, share in KINDS])[0]
        asks = min(left, quota.rate * draw.uniform(low, high) / units)
        left -= max(asks, 1e-3)
        spread = min(gateways, draw.randint(2, 4))
        found.append(Customer(draw.getrandbits(33), name, asks, spread, draw.randrange(gateways)))
    return found


def wishes(seed: int, who: list[Customer], classes: list[Class]) -> Iterator[Wish]:
    """First tries in order of time, without end."""
    draw = random.Random(seed)
    rate = sum(customer.rate for customer in who)
    bounds = list(itertools.accumulate(customer.rate for customer in who))
    shares = list(itertools.accumulate(cls.share for cls in classes))
    # As in service: on one day all clients of a class give up after the same part of its time.
    patience = {cls.name: cls.deadline * draw.uniform(0.5, 1.0) for cls in classes}
    at = 0.0
    while True:
        at += draw.expovariate(rate)
        customer = draw.choices(who, cum_weights=bounds)[0]
        cls = draw.choices(classes, cum_weights=shares)[0]
        yield Wish(at, customer, cls, patience[cls.name])

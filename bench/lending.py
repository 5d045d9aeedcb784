"""What passes of an uneven customer's ceiling, with lending and without: twelve modules in simulated time."""

from __future__ import annotations

import random
from dataclasses import replace
from statistics import median

from mothgap.interface import Action, Send
from tests.gateways import Gateways, Ledger
from tests.test_lending import FLEET, LENT, PLAN, request_fields

SECOND = 1_000_000
SKEWS = (1.0, 2.0, 3.0)  # the higher, the more comes to the first gateways
LOADS = (0.5, 0.75, 1.5)  # of the ceiling's rate that is asked
SECONDS = 20


def _play(skew: float, load: float, lent: bool, seed: int) -> tuple[float, float, float]:
    """Units passed of those that fit, how far the ceiling was passed, and messages a request."""
    fleet = Gateways(replace(LENT, limits=replace(LENT.limits, peers=lent)), seed, loss_rate=0.05)
    chance, began = random.Random(seed), fleet.now
    ledger, fits = (Ledger(PLAN.ceiling_rate, PLAN.ceiling_burst, began) for _ in range(2))
    units: dict[int, float] = {}

    def on(_: int, action: Action) -> None:
        if isinstance(action, Send):
            ledger.take(units[action.request], fleet.now)

    fleet.on_action = on
    number = 0
    while fleet.now < began + SECONDS * SECOND:
        fleet.run(fleet.now + int(chance.expovariate(load * PLAN.ceiling_rate / 1.5) * SECOND) + 1)
        number += 1
        units[number] = float(chance.choice((1, 2)))
        probe = _level(fits, fleet.now)
        if probe >= units[number]:
            fits.take(units[number], fleet.now)
        fleet.request(int(chance.random() ** skew * FLEET), **request_fields(units[number]))
    fleet.run(fleet.now + SECOND)
    return ledger.total_units / fits.total_units, max(0.0, -ledger.min_level), fleet.messages / number


def _level(ledger: Ledger, now: int) -> float:
    """What a ledger holds at a time, without taking anything."""
    return min(ledger.burst, ledger.level + ledger.rate * (now - ledger.at) / SECOND)


def measure(rounds: int) -> None:
    """One row for each unevenness and load."""
    print("skew  load  passed alone  passed lending  most over  slack  messages a request")
    for skew in SKEWS:
        for load in LOADS:
            alone = [_play(skew, load, False, seed) for seed in range(rounds)]
            lent = [_play(skew, load, True, seed) for seed in range(rounds)]
            print(
                f"{skew:4.1f}  {load:4.2f}  {median(p for p, _, _ in alone):12.2f}"
                f"  {median(p for p, _, _ in lent):14.2f}  {max(o for _, o, _ in lent):9.2f}"
                f"  {PLAN.ceiling_slack:5.1f}  {median(m for _, _, m in lent):18.2f}"
            )

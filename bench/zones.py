"""A zone's boxes fail for some seconds and come back: with the fleet's word on zones and without.

Over processes (`zones`, twelve gateways and boxes; `zones:30`, thirty) under load, a seed a round: seconds
from the death until each gateway outside the zone has heard that it is left, and is away; the spread between
the first and the last; seconds from the boxes' return until it is in use again; what was served of the tries.

In virtual time (`zones:emulated`), 200 gateways and boxes, dead or silent: the same, beside the ideal, in
which all gateways know of the loss and the return at once; and the most that a box which was left had in a
second, of what it can do in one.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from lynxreel.emulator.box import Make
from lynxreel.emulator.fleet import START
from lynxreel.emulator.zones import ZonedFleet
from lynxreel.local.by_etcd import with_word
from lynxreel.local.zones import stages
from lynxreel.standins.faults import Fault, Kind
from lynxreel.zones.word import DecisionSettings
from mothgap.interface import Counter, Effect, Limits, Plan, RequestClass, Safety, Settings

ZONES, LOST = 3, 2  # and the one that fails
WARM, AWAY, TAIL = 3.0, 6.0, 8.0  # seconds of load before, of the loss, and after it
MS, SECOND = 1_000, 1_000_000
MANY, RATE, WORK = 200, 2_000.0, 60 * MS  # emulated gateways and boxes, first tries a second, and their work
MAKE = Make(cores=2, slots=8)
BUSY = RATE * WORK / (MAKE.cores * MANY * SECOND)  # of what all boxes can do


def _without(text: str) -> str:
    """An operator file that leaves no zone."""
    return text.partition("\n[zones]")[0]


def _patiently(text: str) -> str:
    return text.replace("[counter]", "[counter]\ntime_limit_ms = 1000")


async def _play(seed: int, word: bool, count: int, folder: Path) -> dict[str, Any]:
    rate = 250.0 * count / 12
    given = {"boxes": count, "rate": rate, "zones": ZONES, "seed": seed, "edit": _patiently}
    last = str if word else _without
    async with with_word(folder, count, last=last, **given) as (deployment, _):  # type: ignore[arg-type]
        play = asyncio.ensure_future(deployment.play(1e9))
        await asyncio.sleep(WARM)
        served, taken = deployment.ledger.total("served"), deployment.ledger.total("taken")
        died = time.time()
        boxes = [box.name for n, box in enumerate(deployment.boxes) if n % ZONES == LOST]
        deployment.box_faults.on(*[Fault(Kind.DEAD, target=box) for box in boxes])
        await asyncio.sleep(AWAY)
        back = time.time()
        deployment.box_faults.off()
        await asyncio.sleep(TAIL)
        play.cancel()
        served, taken = deployment.ledger.total("served") - served, deployment.ledger.total("taken") - taken
        await deployment.front.settle(10)
        outside = [number for number in range(count) if number % ZONES != LOST]
        told = stages(folder, outside, f"z{LOST}", died, back)
        report = deployment.ledger.report()
        broken = sum(report[rule] for rule in ("lost", "duplicated", "late", "ran_twice"))
        return {"told": told, "served": served / taken, "broken": broken, "failed": report["failed"]}


def _processes(rounds: int, count: int) -> None:
    print(f"zones: {count} gateways and boxes, zone {LOST} dead for {AWAY:.0f} s, {rounds} seeds")
    for word in (False, True):
        plays = []
        for seed in range(1, rounds + 1):
            with tempfile.TemporaryDirectory(prefix="lynxreel-bench-") as folder:
                plays.append(uvloop.run(_play(seed, word, count, Path(folder))))
        served = statistics.median(play["served"] for play in plays)
        failed, broken = (sum(play[what] for play in plays) for what in ("failed", "broken"))
        print(
            f"  {'with' if word else 'without'} the word: served {served:.3f} of the tries, {failed} failed,"
            f" {broken} rules broken"
        )
        for stage in ("leaving", "away", "in use") if word else ():
            _row(stage, [play["told"][stage] for play in plays if stage in play["told"]])


def _row(stage: str, heard: list[tuple[float, float]]) -> None:
    """When the first and the last gateway heard of it, over plays."""
    if not heard:
        print(f"    {stage}: in no play")
        return
    last, spread = sorted(late for _, late in heard), sorted(late - early for early, late in heard)
    print(
        f"    {stage}: in {len(heard)} plays; the last gateway after {statistics.median(last):.2f} s"
        f" ({last[0]:.2f} to {last[-1]:.2f}), first to last {statistics.median(spread):.3f} s"
        f" (at most {spread[-1]:.3f})"
    )


# --- in virtual time --------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Emulated:
    """One emulated play. Shares are of the first tries, answered in time."""

    none: tuple[float, float] | None  # seconds until the first and the last use nothing of the zone
    back: tuple[float, float] | None  # and all of it again
    loss: float  # served while it was lost
    after: float  # and until 13 s after its return
    most: float  # in a second at a box that was left, of what it can do
    messages: float  # a second and gateway
    calls: float  # to the store, likewise
    problems: int


def emulate(seed: int, how: str, silent: bool, gateways: int = MANY) -> Emulated:
    """`how`: `alone`, `word`, or `ideal`."""
    settings = Settings(
        classes=(
            RequestClass(Effect.REPEATABLE, aim=800 * MS, deadline=2 * SECOND, worth=1.0),
            RequestClass(Effect.ONCE, aim=1_500 * MS, deadline=7_500 * MS, worth=3.0),
        ),
        plans=(Plan(),),
        fleet_size=gateways,
        counter=Counter(30 * MS),
        limits=Limits(max_attempts=4, may_cancel=True),
        safety=Safety(
            answer_slack=5 * MS,
            drain_grace=500 * MS,
            cold_from=0.25,
            cold_span=10 * SECOND,
            fall_multiple=3.0,
            fall_span=2 * SECOND,
        ),
    )
    terms = DecisionSettings() if how == "word" else None
    fleet = ZonedFleet(settings, gateways, ZONES, seed=seed, make=MAKE, work=WORK, terms=terms)
    fleet.load(RATE * gateways / MANY, 10 * gateways, START + 25 * SECOND, retries=1)
    fleet.run(5 * SECOND)
    died, lost = fleet.agenda.now, fleet.in_zone(LOST)
    if silent:
        fleet.silence(lost)
    else:
        for name in lost:
            fleet.boxes[name].fallen = True  # nobody is there: connects are refused
    if how == "ideal":
        fleet.order(LOST, 0.0)
    fleet.run(6 * SECOND)
    back = fleet.agenda.now
    fleet.revive(lost)
    if how == "ideal":
        fleet.order(LOST, None)
    fleet.run(14 * SECOND)
    none: dict[int, float] = {}
    whole: dict[int, float] = {}
    outside = set(fleet.outside(LOST))
    for at, gateway, parts in fleet.used:
        if gateway in outside and parts.get(f"z{LOST}") == 0.0:
            none.setdefault(gateway, (at - died) / SECOND)
        if gateway in outside and at > back and f"z{LOST}" not in parts:
            whole[gateway] = (at - back) / SECOND
    first = START // SECOND
    sent = [
        count * WORK / (MAKE.cores * SECOND)
        for (box, second), count in fleet.sent.items()
        if fleet.lines[box].zone != LOST and second >= first + 5
    ]
    span = 25.0 * gateways
    return Emulated(
        _ends(none.values(), len(outside)),
        _ends(whole.values(), len(outside)),
        fleet.books.served(first + 5, first + 11),
        fleet.books.served(first + 11, first + 24),
        max(sent),
        fleet.said / span,
        fleet.asked / span,
        len(fleet.books.problems),
    )


def _ends(times: Iterable[float], count: int) -> tuple[float, float] | None:
    """The first and the last, where all have one."""
    found = sorted(times)
    return (found[0], found[-1]) if len(found) == count else None


def _emulated(rounds: int) -> None:
    print(f"zones: {MANY} gateways and boxes in virtual time, {BUSY:.2f} of what they can do, {rounds} seeds")
    with ProcessPoolExecutor() as pool:
        for silent in (False, True):
            for how in ("alone", "word", "ideal"):
                plays = list(pool.map(_one, [(seed, how, silent) for seed in range(1, rounds + 1)]))
                loss = statistics.median(play.loss for play in plays)
                after = statistics.median(play.after for play in plays)
                print(
                    f"  {'silent' if silent else 'dead'}, {how}: served {loss:.3f} in the loss,"
                    f" {after:.3f} after; at most {max(p.most for p in plays):.2f} of what a box can do;"
                    f" {sum(p.problems for p in plays)} rules broken"
                )
                if how == "word":
                    _row("uses none", [p.none for p in plays if p.none is not None])
                    _row("uses all", [p.back for p in plays if p.back is not None])
                    messages, calls = (statistics.median(p.messages for p in plays), plays[0].calls)
                    print(f"    a gateway says {messages:.1f} messages and makes {calls:.2f} calls a second")


def _one(given: tuple[int, str, bool]) -> Emulated:
    return emulate(*given)


def measure(rounds: int, part: str = "12") -> None:
    """`part`: the number of gateways that are processes, or `emulated`."""
    if part == "emulated":
        _emulated(rounds)
    else:
        _processes(rounds, int(part))

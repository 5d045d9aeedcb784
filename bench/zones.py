"""A zone's boxes die for some seconds and come back: with the fleet's word on zones and without.

Twelve gateways and boxes in three zones under load, a seed a round. Seconds from the death until each gateway
outside the zone has heard that it is left, and is away; the spread between the first and the last; seconds
from the boxes' return until it is in use again; what was served of the tries meanwhile.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

from lynxreel.local.by_etcd import with_word
from lynxreel.records.reader import read
from lynxreel.standins.faults import Fault, Kind

GATEWAYS, BOXES, ZONES, RATE = 12, 12, 3, 250.0
WARM, AWAY, TAIL = 3.0, 6.0, 8.0  # seconds of load before, of the loss, and after it
LOST = 2  # the zone


def _without(text: str) -> str:
    """An operator file that leaves no zone."""
    return text.partition("\n[zones]")[0]


def _patiently(text: str) -> str:
    return text.replace("[counter]", "[counter]\ntime_limit_ms = 1000")


async def _play(seed: int, word: bool, folder: Path) -> dict[str, Any]:
    given = {"boxes": BOXES, "rate": RATE, "zones": ZONES, "seed": seed, "edit": _patiently}
    last = str if word else _without
    async with with_word(folder, GATEWAYS, last=last, **given) as (deployment, _):  # type: ignore[arg-type]
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
        told: dict[str, list[float]] = {"leaving": [], "away": [], "in use": []}
        for number in range(GATEWAYS):
            if number % ZONES == LOST:
                continue
            first: dict[str, float] = {}
            for line in read(folder / f"g{number}" / "records.jsonl").lines:
                if line["record"] == "zone" and line["zone"] == f"z{LOST}":
                    since = back if line["stage"] == "in use" else died
                    first.setdefault(line["stage"], line["at"] / 1e3 - since)
            for stage, at in first.items():
                if stage in told:
                    told[stage].append(at)
        report = deployment.ledger.report()
        broken = sum(report[rule] for rule in ("lost", "duplicated", "late", "ran_twice"))
        return {"told": told, "served": served / taken, "broken": broken, "failed": report["failed"]}


def measure(rounds: int) -> None:
    """One play with and one without the word for each seed."""
    print(f"zones: {GATEWAYS} gateways and boxes, zone {LOST} dead for {AWAY:.0f} s, {rounds} seeds")
    for word in (False, True):
        plays = []
        for seed in range(1, rounds + 1):
            with tempfile.TemporaryDirectory(prefix="lynxreel-bench-") as folder:
                plays.append(uvloop.run(_play(seed, word, Path(folder))))
        served = statistics.median(play["served"] for play in plays)
        failed, broken = (sum(play[what] for play in plays) for what in ("failed", "broken"))
        print(
            f"  {'with' if word else 'without'} the word: served {served:.3f} of the tries, {failed} failed,"
            f" {broken} rules broken"
        )
        for stage in ("leaving", "away", "in use") if word else ():
            whole = [play["told"][stage] for play in plays if play["told"][stage]]
            last = sorted(max(times) for times in whole)
            spread = sorted(max(times) - min(times) for times in whole)
            print(
                f"    {stage}: in {len(whole)} plays; the last gateway after {statistics.median(last):.2f} s"
                f" ({last[0]:.2f} to {last[-1]:.2f}), first to last {statistics.median(spread):.2f} s"
                f" (at most {spread[-1]:.2f})"
            )

"""A fleet that grows and shrinks under a hot customer: units over its ceiling and quota at the worst.

Four, eight and three gateways, in two steps each, every gateway in its own time; with the counter or without.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path

import uvloop

from lynxreel.local.deployment import Deployment
from lynxreel.standins.faults import Fault, Kind
from lynxreel.standins.hot import Hot

LAG = 0.15  # seconds between what is let through and its answer


def _view(gateways: int, before: int = 0) -> str:
    return f"\n[fleet]\ngateways = {gateways}\nbefore = {before}\n"


async def _take(deployment: Deployment, view: str, numbers: range, dice: random.Random) -> None:
    """Each of them reads its file, one after another, up to half a second apart."""
    for number in numbers:
        gateway = deployment.gateways[number]
        before = gateway.place.read()["reloads"]
        deployment.write_file(number, gateway.gate.address, view)
        deployment.do("reload", (number,))
        while gateway.place.read()["reloads"] == before:
            await asyncio.sleep(0.01)
        assert not gateway.place.read()["reload_problems"]
        await asyncio.sleep(dice.uniform(0.0, 0.5))


async def _play(folder: Path, seed: int, cut: bool, quota: bool) -> tuple[float, float, int]:
    dice = random.Random(seed)

    def edit(text: str) -> str:
        return text if quota else text.replace("rate = 10.0\nburst = 20.0\n", "")

    deployment = Deployment(folder, 4, 1.0, seed, edit=edit)
    hot = Hot("carrier")
    try:
        await deployment.start()
        places = [gateway.gate.address for gateway in deployment.gateways]
        hot.ask(places, (3, 0))
        await asyncio.sleep(dice.uniform(1.0, 3.0))
        if cut:
            deployment.counter_faults.on(Fault(Kind.DEAD))
        await _take(deployment, _view(8, 4), range(4), dice)
        for _ in range(4):
            gateway = await deployment.add(_view(8, 4))
            while gateway.place.read().get("state") != "ready":
                await asyncio.sleep(0.01)
            places.append(gateway.gate.address)
        hot.ask(places, (3, 0), (3, 4))
        await asyncio.sleep(dice.uniform(0.5, 2.0))
        hot.ask(places, (3, 4))
        await _take(deployment, _view(8), range(8), dice)
        await asyncio.sleep(dice.uniform(0.5, 3.0))
        await _take(deployment, _view(3, 8), range(8), dice)
        hot.ask(places, (3, 4), (3, 0))
        await asyncio.sleep(dice.uniform(0.5, 2.0))
        hot.ask(places, (3, 0))
        deployment.do("drain", tuple(range(3, 8)))
        for gateway in deployment.gateways[3:]:
            await gateway.process.wait()
        await _take(deployment, _view(3), range(3), dice)
        await asyncio.sleep(1.0)
        hot.rest()
        plan = deployment.plans["carrier"]
        over_ceiling = hot.over(plan.ceiling_rate, plan.ceiling_burst, LAG)
        return over_ceiling, hot.over(plan.rate, plan.burst, LAG), hot.counts["served"]
    finally:
        hot.rest()
        deployment.close()
        for gateway in deployment.gateways:
            await gateway.process.wait()


def measure(rounds: int) -> None:
    """One seed a round and way."""
    print(f"fleet_change: 4 to 8 to 3 gateways, {rounds} seeds each; units over (under 0: never)")
    ways = (("ceiling alone", False, False), ("counter there", False, True), ("counter cut off", True, True))
    for name, cut, quota in ways:
        found = []
        for seed in range(rounds):
            with tempfile.TemporaryDirectory(prefix="lynxreel-bench-") as folder:
                found.append(uvloop.run(_play(Path(folder), seed, cut, quota)))
        ceiling, over, served = (max(values) for values in zip(*found, strict=True))
        shown = f", over the quota {over:.1f}" if quota else ""
        print(f"  {name:15}  over the ceiling {ceiling:.1f}{shown}; up to {served} served")

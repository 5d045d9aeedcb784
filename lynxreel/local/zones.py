"""The loss and the return of a zone on a played day: what is struck, what is shown, and who heard when."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rich import box
from rich.table import Table

from lynxreel.local.deployment import Deployment
from lynxreel.records.reader import read
from lynxreel.standins.faults import Fault, Kind

STAGES = ("leaving", "away", "trial", "returning", "in use")


@dataclass(frozen=True)
class Loss:
    """A zone's boxes are dead from so many seconds of the load on, for a span of seconds."""

    zone: int
    at: float
    span: float


class Lost:
    """A loss as it is played."""

    def __init__(self, deployment: Deployment, zones: int, loss: Loss) -> None:
        self._deployment, self._zones, self._loss = deployment, zones, loss
        self.died = self.back = 0.0  # Unix seconds

    async def play(self) -> None:
        """Strike the zone's boxes, and let them come back."""
        loss, names = self._loss, [one.name for one in self._deployment.boxes]
        await asyncio.sleep(loss.at)
        lost = [name for number, name in enumerate(names) if number % self._zones == loss.zone]
        self.died = time.time()
        self.back = self.died + loss.span
        now = [Fault(Kind.DEAD, span=loss.span, target=name) for name in lost]
        self._deployment.strike(("boxes", fault) for fault in now)

    def heard(self) -> dict[str, tuple[float, float]]:
        """Seconds from the loss, or from the return for what follows it, to the first and last gateway."""
        if not self.died:
            return {}
        gateways = [gateway.number for gateway in self._deployment.gateways]
        outside = [number for number in gateways if number % self._zones != self._loss.zone]
        folder, zone = self._deployment.folder, f"z{self._loss.zone}"
        return stages(folder, outside, zone, self.died, self.back)


def stages(
    folder: Path, gateways: Iterable[int], zone: str, died: float, back: float
) -> dict[str, tuple[float, float]]:
    """When the first and the last gateway heard of each stage, by their records: seconds.

    Leaving counts from the loss; what follows the return, from that, at its last time.
    """
    told: dict[str, list[float]] = {}
    for number in gateways:
        first: dict[str, float] = {}
        for line in read(folder / f"g{number}" / "records.jsonl").lines:
            if line["record"] != "zone" or line["zone"] != zone:
                continue
            at, stage = line["at"] / 1e3, str(line["stage"])
            if stage in ("leaving", "away"):
                first.setdefault(stage, at - died)
            elif at > back:
                first[stage] = at - back
        for stage, at in first.items():
            told.setdefault(stage, []).append(at)
    return {stage: (min(told[stage]), max(told[stage])) for stage in STAGES if stage in told}


def table(states: Mapping[int, Mapping[str, Any]], zones: int, came: Mapping[str, float]) -> Table:
    """The fleet's word as those outside each zone go by it. `came`: requests a second at its boxes."""
    shown = Table(title="zones", box=box.SIMPLE)
    for head in ("zone", "stage", "epoch", "why"):
        shown.add_column(head)
    for head in ("used by", "see it fail", "requests/s"):
        shown.add_column(head, justify="right")
    for zone in (f"z{n}" for n in range(zones)):
        told = {
            number: state["zones"]["zones"][zone]
            for number, state in states.items()
            if zone in state.get("zones", {}).get("zones", {}) and f"z{number % zones}" != zone
        }
        if not told:
            continue
        newest = max(told.values(), key=lambda one: int(one["epoch"]))
        used = sum(one["here"] > 0.0 for one in told.values())
        step = f" {newest['step']}" if newest["stage"] in ("leaving", "returning") else ""
        shown.add_row(
            zone,
            newest["stage"] + step,
            str(newest["epoch"]),
            newest["why"],
            f"{used} of {len(told)}",
            str(newest["bad"]),
            f"{came.get(zone, 0.0):.0f}",
        )
    return shown

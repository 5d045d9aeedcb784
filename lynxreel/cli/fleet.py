"""`lynxreel fleet`: what each gateway goes by while their number changes, and the work in their hands."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from lynxreel.config.model import OperatorFile
from lynxreel.config.read import ConfigError, read
from lynxreel.daemon.place import Place
from lynxreel.fleet.views import Step, View, advise
from lynxreel.jsonlines import ask

WAIT, BAD_CONFIG = 1, 78


def fleet(configs: list[Path], gateways: int, before: int) -> int:
    """Print it as JSON. 0: the next step may be made; 1: not yet; 78: a file is wrong.

    `gateways` and `before` are what was given out; 0 for what the first file says.
    """
    running: dict[str, View | None] = {}
    errors: dict[str, int] = {}
    try:
        files = [read(config) for config in configs]
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    target = View(gateways, before) if gateways else files[0].view
    for file in files:
        for name, place in instances(file):
            if place.held():  # one whose lock is free has ended, and holds nothing
                running[name] = _view(place, max(1, file.gateway.workers))
                errors[name] = place.read().get("internal_errors", 0)
    advice = advise(target, running)
    views = {name: str(view) if view is not None else None for name, view in running.items()}
    told = {
        "target": str(target), "running": views, "next": advice.step.value, "why": advice.text,
        "internal_errors": errors,
    }  # fmt: skip
    print(json.dumps(told, indent=2))
    return WAIT if advice.step is Step.WAIT else 0


def work(configs: list[Path]) -> int:
    """Print as JSON what each instance has in hand and keeps. 1: one can't be asked; 78: a file is wrong."""
    told: dict[str, object] = {}
    unknown = 0
    try:
        files = [read(config) for config in configs]
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    for file in files:
        for name, place in instances(file):
            if not place.held():
                told[name] = "it does not run"
                continue
            try:
                told[name] = ask(str(place.queries), "work")
            except (OSError, ValueError) as wrong:
                told[name] = f"can't be asked: {wrong}"
                unknown += 1
    print(json.dumps(told, indent=2))
    return WAIT if unknown else 0


def instances(file: OperatorFile) -> list[tuple[str, Place]]:
    """A gateway's instances, by the names that they are shown under."""
    name, places = file.gateway.name, Place(file.state.folder).instances()
    if file.gateway.workers <= 1:
        return [(name, place) for place in places]
    return [(f"{name}/{place.folder.name}", place) for place in places]


def _view(place: Place, workers: int) -> View | None:
    """What an instance goes by; a worker's numbers are of workers."""
    told = place.read().get("fleet")
    if not isinstance(told, dict):
        return None
    return View(told["gateways"] // workers, told["before"] // workers)

"""`lynxreel zones`: the fleet's word on zones as instances know it, and operators' orders."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from lynxreel.cli.fleet import instances
from lynxreel.config.read import ConfigError, read
from lynxreel.jsonlines import ask

OK, REFUSED, NO_ANSWER, BAD_CONFIG = 0, 1, 69, 78


def _ask(configs: list[Path], what: str, **more: Any) -> dict[str, Any]:
    """What each instance that runs answers, by its name. Raises ConfigError."""
    told: dict[str, Any] = {}
    for file in [read(config) for config in configs]:
        for name, place in instances(file):
            if place.held():
                try:
                    told[name] = ask(str(place.queries), what, **more)
                except (OSError, ValueError) as wrong:
                    print(f"{name} can't be asked: {wrong}", file=sys.stderr)
    return told


def show(configs: list[Path]) -> int:
    """Print it as JSON. 1: instances go by different words; 69: none answers; 78: a file is wrong."""
    try:
        told = _ask(configs, "zones")
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    print(json.dumps(told, indent=2))
    if not told:
        return NO_ANSWER
    return OK if len({one["epoch"] for one in told.values()}) == 1 else REFUSED


def order(configs: list[Path], act: str, zone: str, dry: bool) -> int:
    """Give an order to the first instance that answers; what follows. 1: it is refused."""
    try:
        told = _ask(configs[:1], "zone", zone=zone, order="" if act == "free" else act, dry=dry)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    if not told:
        return NO_ANSWER
    answer = next(iter(told.values()))
    print(json.dumps(answer, indent=2))
    return REFUSED if "refused" in answer else OK

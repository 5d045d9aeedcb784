"""`lynxreel counter inspect`: one customer's count, as the counter holds it and as instances believe it."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from lynxreel.config.deploy import deploy
from lynxreel.config.read import ConfigError, read
from lynxreel.counters.bump import Counter
from lynxreel.daemon.clock_memory import shown_clock
from lynxreel.daemon.place import Place
from lynxreel.jsonlines import ask
from lynxreel.node import Deployment
from mothgap.interface import Counted, CountedLate, Result
from mothgap.names import count_name, window

TRIES, PAUSE = 40, 0.05  # calls until the connection is up, and seconds between them
NO_SUCH, NO_ANSWER, BAD_CONFIG = 66, 69, 78


def inspect(configs: list[Path], plan: str, customer: str) -> int:
    """Print it as JSON. 66: no such plan, or no customer; 69: the counter does not answer."""
    try:
        files = [read(config) for config in configs]
        deployment = deploy(files[0])
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    try:
        place, number = deployment.names.plans[plan], int(customer, 16)
        figures = deployment.settings.plans[place]
    except (KeyError, ValueError):
        print(f"no plan {plan!r}, or {customer!r} is no customer (16 hex digits)", file=sys.stderr)
        return NO_SUCH
    if figures.rate <= 0:
        print(f"plan {plan!r} has no quota: nothing is counted", file=sys.stderr)
        return NO_SUCH
    now = shown_clock(Path(files[0].state.folder)).now()
    count, length = window(number, figures, now)
    name = count_name(number, count)
    answer = asyncio.run(_total(deployment, name, 2 * length))
    told: dict[str, Any] = {
        "customer": f"{number:016x}", "plan": plan, "window": count, "window_ms": length // 1_000,
        "window_age_ms": ((now + number * 7919 % length) % length) // 1_000, "name": f"{name:x}",
        "counter": None if answer is None else answer, "allowance": figures.burst,
    }  # fmt: skip
    told["instances"] = {}
    for file in files:
        here = Place(file.state.folder).instances()
        for instance in here:
            shown = file.gateway.name if len(here) == 1 else f"{file.gateway.name}/{instance.folder.name}"
            told["instances"][shown] = _instance(instance, number, name)
    print(json.dumps(told, indent=2))
    return 0 if answer is not None else NO_ANSWER


def _instance(place: Place, customer: int, name: int) -> Any:
    if not place.held():
        return "no instance runs here"
    try:
        return {**ask(str(place.queries), "customer", customer=customer, name=name), **_health(place)}
    except (OSError, ValueError) as wrong:
        return f"can't be asked: {wrong}"


def _health(place: Place) -> dict[str, Any]:
    state = place.read()
    return {
        "counter": state.get("counter", "not guarded"),
        "internal_errors": state.get("internal_errors", 0),
    }


async def _total(deployment: Deployment, name: int, life: int) -> float | None:
    """What the counter holds now; reading is adding nothing."""
    heard: asyncio.Queue[Counted | CountedLate] = asyncio.Queue()
    limit, loop, at = 1_000_000, asyncio.get_running_loop(), deployment.counter
    counter: Any
    if at is None:
        return None
    if isinstance(at, tuple):
        counter = Counter(at, limit, heard.put_nowait, loop)
    else:
        from lynxreel.counters.redis import RedisCounter

        counter = RedisCounter(at, limit, heard.put_nowait, loop)
    try:
        for _ in range(TRIES):
            counter.add(name, 0.0, life)
            event = await heard.get()
            if isinstance(event, Counted) and event.result is Result.OK:
                return event.total
            await asyncio.sleep(PAUSE)
        return None
    finally:
        counter.close()

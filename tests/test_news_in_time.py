"""Tests with four gateway processes, alone or configured as part of a fleet of 230, and faults of discovery.

No request may go to a box later than the grace after its leaving counts as announced. When it counts is the
platform's rule.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lynxreel.local.deployment import Deployment
from lynxreel.standins.faults import Fault, Kind
from lynxreel.standins.registry import Registry, entry
from tests.fleet import BROKEN, fleet, run

GRACE = 0.55  # seconds after an announcement counts in which the last request may reach a box
SILENCE = 6.0  # seconds after which what a silent watch misses counts as announced
LEAVING = ("box-0", "box-1")


def agent_and_fleet_of(gateways: int) -> Callable[[str], str]:
    """Return an edit of the operator file: an agent on each gateway's machine, and so many gateways."""

    def edit(text: str) -> str:
        return text.replace("[boxes]\n", "[boxes]\ndiscovery_agent = true\n", 1).replace(
            "gateways = 4\n", f"gateways = {gateways}\n", 1
        )

    return edit


def now() -> float:
    return asyncio.get_running_loop().time()


def announce(registry: Registry, state: str = "DRAINING") -> float:
    """Announce all leaving boxes at once; return the time."""
    registry.put(*[{**registry.boxes[name], "lifecycle": state} for name in LEAVING])
    return now()


# Returns the time from which the leaving counts as announced.
Scenario = Callable[[Deployment], Awaitable[float]]


def run_and_check(scenario: Scenario, folder: Path, gateways: int, indent: int | None) -> None:
    """Run a load with the scenario, and check which requests reached the leaving boxes."""

    async def play() -> None:
        async with fleet(folder, 4, 200.0, boxes=6, edit=agent_and_fleet_of(gateways)) as deployment:
            deployment.registry.indent = indent
            load = asyncio.ensure_future(deployment.play(60.0))
            await asyncio.sleep(0.7)
            announced_at = await scenario(deployment)
            await asyncio.sleep(max(0.0, announced_at + GRACE - now()) + 0.7)
            load.cancel()
            await deployment.front.settle(5.0)
            leaving = [box for box in deployment.boxes if box.name in LEAVING]
            others = [box for box in deployment.boxes if box.name not in LEAVING]
            assert all(box.came for box in leaving)
            late = [at - announced_at for box in leaving for at in box.came if at > announced_at + GRACE]
            assert not late, "seconds after the leaving counted"
            assert any(at > announced_at + GRACE for box in others for at in box.came)  # they still serve
            report = deployment.ledger.report()
            assert {what: report[what] for what in BROKEN} == dict.fromkeys(BROKEN, 0)

    run(play)


async def _wait_for_watches(deployment: Deployment) -> None:
    while len(deployment.registry.watchers) < 4:
        await asyncio.sleep(0.01)


async def plainly(deployment: Deployment) -> float:
    return announce(deployment.registry)


async def silent(deployment: Deployment) -> float:
    deployment.registry.hush()
    silenced_at = now()
    await asyncio.sleep(0.1)
    announce(deployment.registry)
    return silenced_at + SILENCE - 2.0  # less than what is allowed


async def silent_twice(deployment: Deployment) -> float:
    deployment.registry.hush()
    await _wait_for_watches(deployment)
    deployment.registry.hush()
    silenced_at = now()
    announce(deployment.registry, "DELETED")
    return silenced_at + SILENCE - 2.0


async def reset(deployment: Deployment) -> float:
    deployment.registry.cut()
    return announce(deployment.registry)


async def away_and_back(deployment: Deployment) -> float:
    deployment.registry.away = True
    await asyncio.sleep(1.0)
    deployment.registry.cut()  # no watch is left that could receive the change
    announce(deployment.registry)
    await asyncio.sleep(3.0)
    deployment.registry.come_back()
    return now()


async def turned_away(deployment: Deployment) -> float:
    fault = Fault(Kind.REFUSE)
    deployment.registry_faults.on(fault)
    deployment.registry.cut()
    announce(deployment.registry)
    await asyncio.sleep(3.0)
    deployment.registry_faults.off()
    return now()


async def slow_after_a_reset(deployment: Deployment) -> float:
    deployment.registry_faults.on(Fault(Kind.SLOW, delay=1.5))
    deployment.registry.cut()
    return announce(deployment.registry) + 1.8  # less than what is allowed


async def slow_while_silent(deployment: Deployment) -> float:
    deployment.registry_faults.on(Fault(Kind.SLOW, delay=2.0))
    deployment.registry.hush()
    silenced_at = now()
    announce(deployment.registry)
    return silenced_at + SILENCE - 1.0  # less than what is allowed


async def moved_to_a_slow_one(deployment: Deployment) -> float:
    deployment.registry_faults.on(Fault(Kind.SLOW, delay=1.5))
    return await moved_while_silent(deployment)


async def moved_while_silent(deployment: Deployment) -> float:
    old_registry = deployment.registry
    old_registry.away = True
    deployment.registry = Registry(deployment.registry_faults, old_registry.clock)
    await deployment.registry.listener.open()
    deployment.registry.put(*old_registry.boxes.values())
    announce(deployment.registry)
    for gateway in deployment.gateways:
        deployment.write_file(gateway.number, gateway.gate.address)
    deployment.do("reload", (0, 1, 2, 3))
    await _wait_for_watches(deployment)
    old_registry.listener.close()
    return now()


async def taken_back_and_announced_again(deployment: Deployment) -> float:
    for state in ("DRAINING", "SERVING", "DRAINING"):
        announced_at = announce(deployment.registry, state)
        await asyncio.sleep(0.2)
    return announced_at


async def restarted_elsewhere(deployment: Deployment) -> float:
    announced_at = announce(deployment.registry)
    other = deployment.boxes[-1].listener.address  # the same names come back at the address of another box
    await asyncio.sleep(0.1)
    deployment.registry.put(*[entry(name, other, started=int(announced_at)) for name in LEAVING])
    return announced_at


@pytest.mark.parametrize(("gateways", "indent"), [(4, None), (230, 2)])
@pytest.mark.parametrize(
    "scenario",
    [
        plainly,
        silent,
        silent_twice,
        reset,
        away_and_back,
        turned_away,
        slow_after_a_reset,
        slow_while_silent,
        moved_while_silent,
        moved_to_a_slow_one,
        taken_back_and_announced_again,
        restarted_elsewhere,
    ],
)
def test_no_request_goes_to_boxes_announced_as_leaving(
    scenario: Scenario, gateways: int, indent: int | None, tmp_path: Path
) -> None:
    run_and_check(scenario, tmp_path, gateways, indent)


def test_six_of_ten_boxes_are_replaced_within_seven_seconds_while_watches_fall_silent_once(
    tmp_path: Path,
) -> None:
    """One leaves and one joins at a time; each leaving counts from a time of its own."""

    async def play() -> None:
        async with fleet(tmp_path, 4, 200.0, boxes=16, edit=agent_and_fleet_of(230)) as deployment:
            registry, announced_at = deployment.registry, {}
            joining = [f"box-{n}" for n in range(10, 16)]
            entries = dict(registry.boxes)
            registry.put(*[{**entries[name], "lifecycle": "DELETED"} for name in joining])
            load = asyncio.ensure_future(deployment.play(60.0))
            await asyncio.sleep(0.7)
            for number, name in enumerate(joining):
                if number == 2:
                    registry.hush()
                    silenced_at = now()
                registry.put({**entries[f"box-{number}"], "lifecycle": "DRAINING"}, entries[name])
                announced_at[f"box-{number}"] = (
                    now() if number < 2 else max(now(), silenced_at + SILENCE - 2.0)
                )
                await asyncio.sleep(1.1)
            await asyncio.sleep(max(0.0, max(announced_at.values()) + GRACE - now()) + 0.7)
            load.cancel()
            await deployment.front.settle(5.0)
            boxes = {box.name: box.came for box in deployment.boxes}
            late = [
                at - when for name, when in announced_at.items() for at in boxes[name] if at > when + GRACE
            ]
            assert not late, "seconds after the leaving counted"
            assert all(boxes[name] for name in announced_at)
            assert any(boxes[name] for name in joining)  # the new boxes serve
            report = deployment.ledger.report()
            assert {what: report[what] for what in BROKEN} == dict.fromkeys(BROKEN, 0)

    run(play)

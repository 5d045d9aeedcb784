"""A fleet that grows and shrinks in service, as processes: a hot customer keeps its ceiling."""

import asyncio
import contextlib
import json
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from lynxreel.local.deployment import Deployment
from lynxreel.standins.faults import Fault, Kind
from lynxreel.standins.hot import Hot
from tests.fleet import fleet, log_of, run, told

SLACK = 4.0  # units; a tenth of the ceiling's burst, as the platform's rule has it
LAG = 0.15  # seconds by which an answer may be late against what was let through


def asks(deployment: Deployment, hot: Hot, *sets: tuple[int, int]) -> None:
    """From now on the customer comes through these sets."""
    hot.ask([gateway.gate.address for gateway in deployment.gateways], *sets)


def check(deployment: Deployment, hot: Hot) -> None:
    """No span of time had more than the burst and what the ceiling gives in it."""
    quota = deployment.plans["carrier"]
    over = hot.over(quota.ceiling_rate, quota.ceiling_burst, LAG)
    assert over <= SLACK, f"{over:.1f} units over the ceiling"


def view(gateways: int, before: int = 0) -> str:
    """The table of an operator file that says so."""
    return f"\n[fleet]\ngateways = {gateways}\nbefore = {before}\n"


def give_out(deployment: Deployment, number: int, gateways: int, before: int = 0) -> None:
    """Write a gateway's file anew, with this view."""
    deployment.write_file(number, deployment.gateways[number].gate.address, view(gateways, before))


async def take(deployment: Deployment, *numbers: int) -> None:
    """Have these gateways read their files, and wait until they have."""
    before = {number: deployment.gateways[number].place.read()["reloads"] for number in numbers}
    deployment.do("reload", numbers)
    for number in numbers:
        state = await told(deployment.gateways[number], reloads=before[number] + 1)
        assert not state["reload_problems"], state["reload_problems"]


async def join(deployment: Deployment, gateways: int, before: int) -> None:
    """Start the gateways that are new in this view."""
    while len(deployment.gateways) < gateways:
        await told(await deployment.add(view(gateways, before)), state="ready")


async def asked(deployment: Deployment, *more: str) -> tuple[int, dict[str, Any]]:
    """What `lynxreel fleet` says of all files."""
    configs = [word for gateway in deployment.gateways for word in ("--config", str(gateway.config))]
    words = [sys.executable, "-m", "lynxreel.cli.main", "fleet", *configs, *more]
    process = await asyncio.create_subprocess_exec(*words, stdout=subprocess.PIPE)
    out = (await process.communicate())[0]
    assert process.returncode is not None
    return process.returncode, json.loads(out)


def ceiling_alone(text: str) -> str:
    """An operator file whose carriers have no quota: nothing but the ceiling holds them."""
    assert "rate = 10.0\nburst = 20.0\n" in text
    return text.replace("rate = 10.0\nburst = 20.0\n", "")


@contextlib.asynccontextmanager
async def growing(folder: Path, quota: bool = False) -> AsyncIterator[tuple[Deployment, Hot]]:
    """Two gateways, and a hot customer at both."""
    async with fleet(folder, 2, edit=str if quota else ceiling_alone) as deployment:
        hot = Hot("carrier")
        asks(deployment, hot, (2, 0))
        try:
            yield deployment, hot
        finally:
            hot.rest()


@pytest.mark.parametrize("cut", [False, True])
def test_from_two_to_four_to_one_a_hot_customer_keeps_its_ceiling(tmp_path: Path, cut: bool) -> None:
    """Four, eight and three, scaled down to one machine; held by the ceiling alone, or with a quota whose
    counter is cut off."""

    async def scenario() -> None:
        async with growing(tmp_path, quota=cut) as (deployment, hot):
            await asyncio.sleep(2.2)
            if cut:
                deployment.counter_faults.on(Fault(Kind.DEAD))
            for number in (0, 1):  # seconds apart, in service
                give_out(deployment, number, 4, before=2)
                await take(deployment, number)
                await asyncio.sleep(0.3)
            await join(deployment, 4, 2)
            code, said = await asked(deployment)
            assert (code, said["next"]) == (0, "move fronts"), said
            asks(deployment, hot, (2, 0), (2, 2))  # some fronts have moved
            await asyncio.sleep(1.0)
            asks(deployment, hot, (2, 2))  # all have
            for number in range(4):
                give_out(deployment, number, 4)
                await take(deployment, number)
                await asyncio.sleep(0.1)
            code, said = await asked(deployment)
            assert (code, said["next"]) == (0, "change"), said
            await asyncio.sleep(0.7)
            for number in range(4):
                give_out(deployment, number, 1, before=4)
                await take(deployment, number)
            assert (await asked(deployment))[1]["next"] == "move fronts"
            asks(deployment, hot, (2, 2), (1, 0))
            await asyncio.sleep(0.7)
            asks(deployment, hot, (1, 0))
            deployment.do("drain", (1, 2, 3))
            for gateway in deployment.gateways[1:]:
                await gateway.process.wait()
            give_out(deployment, 0, 1)
            await take(deployment, 0)
            await asyncio.sleep(0.7)
            hot.rest()
            check(deployment, hot)
            assert hot.counts["served"] > 20 and hot.counts["refused"] > 20 and not hot.counts["failed"]

    run(scenario)


def test_what_was_saved_up_is_handed_back_when_a_change_begins(tmp_path: Path) -> None:
    """A gateway may hold it from a time when the customer came through others: nobody knows, so it goes."""

    async def scenario() -> None:
        async with growing(tmp_path) as (deployment, hot):
            await asyncio.sleep(0.3)
            hot.rest()
            await asyncio.sleep(2.5)  # the ceiling is full again
            for number in (0, 1):
                give_out(deployment, number, 4, before=2)
                await take(deployment, number)
            hot.served.clear()
            began = asyncio.get_running_loop().time()
            asks(deployment, hot, (2, 0))
            await asyncio.sleep(0.5)
            hot.rest()
            span = asyncio.get_running_loop().time() - began + LAG
            # Half of the rate, and what came while the files were read.
            assert 0 < len(hot.served) <= 10 * span + 6

    run(scenario)


def test_one_that_never_hears_of_it_holds_the_change_up_until_it_is_ended(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with growing(tmp_path) as (deployment, _):
            give_out(deployment, 0, 4, before=2)
            await take(deployment, 0)
            code, said = await asked(deployment)
            assert code == 1 and "g1 still goes by 2" in said["why"], said
            deployment.do("kill", (1,))
            await deployment.gateways[1].process.wait()
            code, said = await asked(deployment)
            assert code == 0 and list(said["running"]) == ["g0"], said

    run(scenario)


def test_a_change_in_one_step_is_refused_with_the_mend(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 2) as deployment:
            give_out(deployment, 0, 4)
            deployment.do("reload", (0,))
            state = await told(deployment.gateways[0], reloads=1)
            (problem,) = state["reload_problems"]
            assert "from 2 to 4 in one step" in problem and "before = 2" in problem
            assert state["fleet"] == {"gateways": 2, "before": 0}
            assert "the old settings stay" in log_of(deployment)

    run(scenario)

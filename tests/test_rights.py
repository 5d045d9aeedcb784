"""Paused or partitioned gateways and their keepers: real processes, faulty links, decisions in etcd."""

import asyncio
import contextlib
import os
import signal
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest

from lynxreel.jsonlines import ask
from lynxreel.local.by_etcd import Cluster, with_word
from lynxreel.local.deployment import Deployment, Gateway
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import Caller, run
from tests.test_work_in_hand import (
    COMMIT,
    as_returning,
    commands_received,
    fresh_state,
    units_added,
    wait_until,
    with_slow_counter,
)


def wired_fleet(
    folder: Path, gateways: int = 3, lease: int = 200, env: Mapping[str, str] | None = None
) -> contextlib.AbstractAsyncContextManager[tuple[Deployment, Cluster]]:
    """Instances whose links can fail, with ownership decisions in a stand-in etcd."""
    return with_word(folder, gateways, lease, edit=with_slow_counter, env=env)


def decisions(cluster: Cluster) -> list[bytes]:
    """Returns the ownership decisions that have been written."""
    return [kv.value for kv in cluster.under("takeover/")]


async def takeover_status(gateway: Gateway) -> dict[str, Any]:
    """Returns the takeover status of an instance."""
    found: dict[str, Any] = await asyncio.to_thread(ask, str(gateway.place.queries), "work")
    return found


async def open_requests(deployment: Deployment, number: int) -> list[dict[str, Any]]:
    """Returns a row for each open request of an instance."""
    found: list[dict[str, Any]] = (await takeover_status(deployment.gateways[number]))["requests"]
    return found


async def wait_until_ready(deployment: Deployment) -> None:
    """Waits until every instance has each other one as a keeper that is certain of its lease."""
    others = len(deployment.gateways) - 1
    for gateway in deployment.gateways:
        while True:
            status = await takeover_status(gateway)
            if set(status["peers"].values()) == {"up"} and status["rights"] == status["sure_of"] == others:
                break


def test_a_paused_owners_effect_is_taken_over_and_the_owner_does_nothing_after_it_resumes(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with wired_fleet(tmp_path) as (deployment, cluster):
            await wait_until_ready(deployment)
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.3))
            owner, other, third = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await wait_until(lambda: units_added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[0].process.send_signal(signal.SIGSTOP)
            other.command(*as_returning(COMMIT))
            assert await other.answer() == b"done r1"
            assert decisions(cluster) == [b"keeper"]
            deployment.gateways[0].process.send_signal(signal.SIGCONT)
            # It resumes with a counted request, and looks up the answer that exists.
            assert await owner.answer() == b"done r1"
            third.command(*as_returning(COMMIT))
            assert await third.answer() == b"done r1"
            await asyncio.sleep(0.5)
            assert commands_received(deployment) == 1
            assert units_added(deployment, 77) == 2.0

    run(scenario)


TRIES = 5  # in which to pause a process within the 90 ms that its keepers' messages are in transit


@pytest.mark.parametrize("stopped", [0.2, 1.0, 10.0])
def test_an_owner_paused_between_its_intent_and_its_first_byte(tmp_path: Path, stopped: float) -> None:
    """Within its lease the owner continues; later it sends nothing, and both clients get "unknown".

    If this process was late, and the request had reached its box before the owner was paused, the case has
    not been produced and is tried again. An owner that does not wait for its keepers is never paused in time.
    """

    async def scenario() -> None:
        for attempt in range(TRIES):
            if await paused_before_its_first_byte(tmp_path / f"try{attempt}", stopped):
                return
        raise AssertionError(f"in {TRIES} tries the request reached its box before the owner was paused")

    run(scenario)


async def paused_before_its_first_byte(folder: Path, stopped: float) -> bool:
    """Tries it once; returns whether the owner was paused in time."""
    folder.mkdir()
    async with wired_fleet(folder, lease=600) as (deployment, cluster):
        await wait_until_ready(deployment)
        deployment.wire_faults.on(Fault(Kind.SLOW, target="g1>g0", delay=0.09))  # its keepers' messages
        deployment.wire_faults.on(Fault(Kind.SLOW, target="g2>g0", delay=0.09))
        callers = [await Caller.to(gateway) for gateway in deployment.gateways]
        call = [*COMMIT[:3], COMMIT[3].replace("d=7000", "d=7400"), "body"]
        callers[0].command(*call)
        while not any(row["stage"] == "about to be sent" for row in (await open_requests(deployment, 0))):
            await asyncio.sleep(0)
        deployment.gateways[0].process.send_signal(signal.SIGSTOP)
        callers[1].command(*as_returning(call))
        await asyncio.sleep(stopped / 2)
        if commands_received(deployment):
            return False
        await asyncio.sleep(stopped / 2)
        deployment.gateways[0].process.send_signal(signal.SIGCONT)
        answers = [await callers[0].answer(), await callers[1].answer()]
        await asyncio.sleep(0.3)
        if stopped < 0.6:
            assert answers == [b"done r1"] * 2 and commands_received(deployment) == 1
        else:
            assert [answer[:8] for answer in answers] == [b"-UNKNOWN"] * 2 and commands_received(
                deployment
            ) == 0
        assert units_added(deployment, 77) == 2.0
        return True


def test_an_owner_whose_keeper_is_paused_continues_with_another_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with wired_fleet(tmp_path) as (deployment, cluster):
            await wait_until_ready(deployment)
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.8))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*COMMIT)
            await wait_until(lambda: commands_received(deployment) == 1)
            (keeper,) = (await takeover_status(deployment.gateways[0]))["covered_by"]
            deployment.gateways[int(keeper[1:])].process.send_signal(signal.SIGSTOP)
            assert await owner.answer() == b"done r1"
            assert decisions(cluster) == [b"owner"]
            assert commands_received(deployment) == 1

    run(scenario)


@pytest.mark.parametrize("ways", ["both", "to the keeper", "from the keeper"])
def test_if_an_owner_is_partitioned_from_its_keeper_one_of_them_resumes(tmp_path: Path, ways: str) -> None:
    """Clients reach both: there is one run, and one answer."""

    async def scenario() -> None:
        async with wired_fleet(tmp_path) as (deployment, cluster):
            await wait_until_ready(deployment)
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.6))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*COMMIT)
            await wait_until(lambda: units_added(deployment, 77) >= 2.0)
            (keeper,) = (await takeover_status(deployment.gateways[0]))["covered_by"]
            if ways != "from the keeper":
                deployment.wire_faults.on(Fault(Kind.SILENT, target=f"g0>{keeper}"))
            if ways != "to the keeper":
                deployment.wire_faults.on(Fault(Kind.SILENT, target=f"{keeper}>g0"))
            others = [await Caller.to(gateway) for gateway in deployment.gateways[1:]]
            for caller in others:
                caller.command(*as_returning(COMMIT))
            answers = [await caller.answer() for caller in (owner, *others)]
            assert set(answers) == {b"done r1"}, answers
            assert len(decisions(cluster)) == 1
            await asyncio.sleep(0.5)
            assert commands_received(deployment) == 1
            assert units_added(deployment, 77) == 2.0

    run(scenario)


def test_without_a_decision_neither_resumes_but_dead_owners_are_taken_over(tmp_path: Path) -> None:
    """etcd has no quorum.

    The requests of a paused owner are not taken over; those of one that is killed within its lease are.
    """

    async def scenario() -> None:
        async with wired_fleet(tmp_path, lease=1_000) as (deployment, cluster):
            await wait_until_ready(deployment)
            cluster.faults.on(Fault(Kind.QUORUM))
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.4))
            owner, other, _ = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await wait_until(lambda: units_added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[0].process.kill()
            other.command(*as_returning(COMMIT))
            assert await other.answer() == b"done r1"
            assert commands_received(deployment) == 1
            stopped = ["CALL.POST", f"{78:016x}", "r2", "c=port-commit,t=standard,d=2000,units=2", "body"]
            other.command(*stopped)
            await wait_until(lambda: units_added(deployment, 78) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[1].process.send_signal(signal.SIGSTOP)
            third = await Caller.to(deployment.gateways[2])
            third.command(*as_returning(stopped))
            assert (await third.answer()).startswith(b"-UNKNOWN")
            assert commands_received(deployment) == 1

    run(scenario)


CLOCKS = """\
import sys, time
words, real, born = " ".join(sys.orig_argv), time.time_ns, time.monotonic()
def moved():
    jump = -3_000_000_000 if "g1.toml" in words and time.monotonic() - born > 1.5 else 0
    return real() + (2_000_000_000 if "g0.toml" in words else 0) + jump
time.time_ns, time.time = moved, lambda: moved() / 1e9
"""


def test_takeover_with_clocks_two_seconds_apart_and_one_that_jumps(tmp_path: Path) -> None:
    """Wall clocks don't affect who may act: a paused owner's request is taken over, once."""

    async def scenario() -> None:
        (tmp_path / "clocks").mkdir()
        (tmp_path / "clocks" / "sitecustomize.py").write_text(CLOCKS)
        env = {"PYTHONPATH": f"{tmp_path / 'clocks'}:{os.environ.get('PYTHONPATH', '')}"}
        async with wired_fleet(tmp_path, env=env) as (deployment, cluster):
            await wait_until_ready(deployment)
            apart = (await fresh_state(deployment.gateways[0]))["at"] - time.time()
            assert 1.0 < apart < 3.0  # otherwise the clocks are not set as intended
            await asyncio.sleep(1.5)
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.4))
            callers = [await Caller.to(gateway) for gateway in deployment.gateways]
            callers[0].command(*COMMIT)
            await wait_until(lambda: units_added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[0].process.send_signal(signal.SIGSTOP)
            callers[1].command(*as_returning(COMMIT))
            assert await callers[1].answer() == b"done r1"
            deployment.gateways[0].process.send_signal(signal.SIGCONT)
            assert await callers[0].answer() == b"done r1"
            assert (commands_received(deployment), units_added(deployment, 77)) == (1, 2.0)

    run(scenario)

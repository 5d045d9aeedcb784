"""A stopped or cut-off gateway and its keepers: several processes, wires between them, and a word in etcd."""

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
from tests.test_work_in_hand import COMMIT, added, back, came, news_of, patiently, until


def wired(
    folder: Path, gateways: int = 3, lease: int = 200, env: Mapping[str, str] | None = None
) -> contextlib.AbstractAsyncContextManager[tuple[Deployment, Cluster]]:
    """Instances whose links can fail, with a word in a stand-in etcd."""
    return with_word(folder, gateways, lease, edit=patiently, env=env)


def words(cluster: Cluster) -> list[bytes]:
    """The words that have been written."""
    return [kv.value for kv in cluster.under("takeover/")]


async def work_of(gateway: Gateway) -> dict[str, Any]:
    """What an instance has in hand."""
    found: dict[str, Any] = await asyncio.to_thread(ask, str(gateway.place.queries), "work")
    return found


async def hand(deployment: Deployment, number: int) -> list[dict[str, Any]]:
    """Each request that an instance has in hand."""
    found: list[dict[str, Any]] = (await work_of(deployment.gateways[number]))["requests"]
    return found


async def ready(deployment: Deployment) -> None:
    """Until every instance has each other one for a keeper, who is sure of its right."""
    others = len(deployment.gateways) - 1
    for gateway in deployment.gateways:
        while True:
            told = await work_of(gateway)
            if set(told["peers"].values()) == {"up"} and told["rights"] == told["sure_of"] == others:
                break


def test_a_stopped_owners_effect_is_gone_on_with_and_it_does_nothing_when_it_is_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with wired(tmp_path) as (deployment, cluster):
            await ready(deployment)
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.3))
            owner, other, third = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await until(lambda: added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[0].process.send_signal(signal.SIGSTOP)
            other.command(*back(COMMIT))
            assert await other.answer() == b"done r1"
            assert words(cluster) == [b"keeper"]
            deployment.gateways[0].process.send_signal(signal.SIGCONT)
            # It comes back with a counted request in its hand, and asks for the answer that there is.
            assert await owner.answer() == b"done r1"
            third.command(*back(COMMIT))
            assert await third.answer() == b"done r1"
            await asyncio.sleep(0.5)
            assert came(deployment) == 1
            assert added(deployment, 77) == 2.0

    run(scenario)


PLAYS = 5  # in which to stop a process within the 90 ms that its keepers' words are on their way


@pytest.mark.parametrize("stopped", [0.2, 1.0, 10.0])
def test_an_owner_stopped_between_its_intent_and_its_first_byte(tmp_path: Path, stopped: float) -> None:
    """Within its lease it goes on; later it sends nothing, and both clients hear that its end is unknown.

    Where this process was late, and the request had come to its box before the owner stood still, the case
    was not caused: it is played anew. An owner that does not wait for its keepers is never stopped in time.
    """

    async def scenario() -> None:
        for play in range(PLAYS):
            if await stopped_before_its_first_byte(tmp_path / f"play{play}", stopped):
                return
        raise AssertionError(f"in {PLAYS} plays the request came to its box before the owner stood still")

    run(scenario)


async def stopped_before_its_first_byte(folder: Path, stopped: float) -> bool:
    """Play it once; whether the owner was stopped in time."""
    folder.mkdir()
    async with wired(folder, lease=600) as (deployment, cluster):
        await ready(deployment)
        deployment.wire_faults.on(Fault(Kind.SLOW, target="g1>g0", delay=0.09))  # its keepers' words
        deployment.wire_faults.on(Fault(Kind.SLOW, target="g2>g0", delay=0.09))
        callers = [await Caller.to(gateway) for gateway in deployment.gateways]
        call = [*COMMIT[:3], COMMIT[3].replace("d=7000", "d=7400"), "body"]
        callers[0].command(*call)
        while not any(row["stage"] == "about to be sent" for row in (await hand(deployment, 0))):
            await asyncio.sleep(0)
        deployment.gateways[0].process.send_signal(signal.SIGSTOP)
        callers[1].command(*back(call))
        await asyncio.sleep(stopped / 2)
        if came(deployment):
            return False
        await asyncio.sleep(stopped / 2)
        deployment.gateways[0].process.send_signal(signal.SIGCONT)
        answers = [await callers[0].answer(), await callers[1].answer()]
        await asyncio.sleep(0.3)
        if stopped < 0.6:
            assert answers == [b"done r1"] * 2 and came(deployment) == 1
        else:
            assert [answer[:8] for answer in answers] == [b"-UNKNOWN"] * 2 and came(deployment) == 0
        assert added(deployment, 77) == 2.0
        return True


def test_an_owner_whose_keeper_is_stopped_goes_on_with_another_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with wired(tmp_path) as (deployment, cluster):
            await ready(deployment)
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.8))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*COMMIT)
            await until(lambda: came(deployment) == 1)
            (keeper,) = (await work_of(deployment.gateways[0]))["covered_by"]
            deployment.gateways[int(keeper[1:])].process.send_signal(signal.SIGSTOP)
            assert await owner.answer() == b"done r1"
            assert words(cluster) == [b"owner"]
            assert came(deployment) == 1

    run(scenario)


@pytest.mark.parametrize("ways", ["both", "to the keeper", "from the keeper"])
def test_an_owner_that_is_cut_off_from_its_keeper_and_one_of_them_goes_on(tmp_path: Path, ways: str) -> None:
    """Clients reach both: there is one run, and one answer."""

    async def scenario() -> None:
        async with wired(tmp_path) as (deployment, cluster):
            await ready(deployment)
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.6))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*COMMIT)
            await until(lambda: added(deployment, 77) >= 2.0)
            (keeper,) = (await work_of(deployment.gateways[0]))["covered_by"]
            if ways != "from the keeper":
                deployment.wire_faults.on(Fault(Kind.SILENT, target=f"g0>{keeper}"))
            if ways != "to the keeper":
                deployment.wire_faults.on(Fault(Kind.SILENT, target=f"{keeper}>g0"))
            others = [await Caller.to(gateway) for gateway in deployment.gateways[1:]]
            for caller in others:
                caller.command(*back(COMMIT))
            answers = [await caller.answer() for caller in (owner, *others)]
            assert set(answers) == {b"done r1"}, answers
            assert len(words(cluster)) == 1
            await asyncio.sleep(0.5)
            assert came(deployment) == 1
            assert added(deployment, 77) == 2.0

    run(scenario)


def test_without_a_word_neither_goes_on_and_what_is_dead_is_followed_all_the_same(tmp_path: Path) -> None:
    """etcd has no quorum: a stopped owner is not followed; one that is then killed is, within its lease."""

    async def scenario() -> None:
        async with wired(tmp_path, lease=1_000) as (deployment, cluster):
            await ready(deployment)
            cluster.faults.on(Fault(Kind.QUORUM))
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.4))
            owner, other, _ = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await until(lambda: added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[0].process.kill()
            other.command(*back(COMMIT))
            assert await other.answer() == b"done r1"
            assert came(deployment) == 1
            stopped = ["CALL.POST", f"{78:016x}", "r2", "c=port-commit,t=standard,d=2000,units=2", "body"]
            other.command(*stopped)
            await until(lambda: added(deployment, 78) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[1].process.send_signal(signal.SIGSTOP)
            third = await Caller.to(deployment.gateways[2])
            third.command(*back(stopped))
            assert (await third.answer()).startswith(b"-UNKNOWN")
            assert came(deployment) == 1

    run(scenario)


CLOCKS = """\
import sys, time
words, real, born = " ".join(sys.orig_argv), time.time_ns, time.monotonic()
def moved():
    jump = -3_000_000_000 if "g1.toml" in words and time.monotonic() - born > 1.5 else 0
    return real() + (2_000_000_000 if "g0.toml" in words else 0) + jump
time.time_ns, time.time = moved, lambda: moved() / 1e9
"""


def test_clocks_that_are_two_seconds_apart_and_one_that_jumps(tmp_path: Path) -> None:
    """What they are set to says nothing of who may act: a stopped owner is followed, once."""

    async def scenario() -> None:
        (tmp_path / "clocks").mkdir()
        (tmp_path / "clocks" / "sitecustomize.py").write_text(CLOCKS)
        env = {"PYTHONPATH": f"{tmp_path / 'clocks'}:{os.environ.get('PYTHONPATH', '')}"}
        async with wired(tmp_path, env=env) as (deployment, cluster):
            await ready(deployment)
            apart = (await news_of(deployment.gateways[0]))["at"] - time.time()
            assert 1.0 < apart < 3.0  # else the clocks are not what they are meant to be
            await asyncio.sleep(1.5)
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.4))
            callers = [await Caller.to(gateway) for gateway in deployment.gateways]
            callers[0].command(*COMMIT)
            await until(lambda: added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.05)
            deployment.gateways[0].process.send_signal(signal.SIGSTOP)
            callers[1].command(*back(COMMIT))
            assert await callers[1].answer() == b"done r1"
            deployment.gateways[0].process.send_signal(signal.SIGCONT)
            assert await callers[0].answer() == b"done r1"
            assert (came(deployment), added(deployment, 77)) == (1, 2.0)

    run(scenario)

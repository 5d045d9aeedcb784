"""Requests that outlive their gateway: several processes of the program, killed under what they hold."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from lynxreel.cli.main import main
from lynxreel.local.deployment import Deployment, Gateway
from lynxreel.records.reader import read
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import BROKEN, Caller, fleet, run


def clean(deployment: Deployment) -> None:
    books = deployment.ledger.report()
    assert {what: books[what] for what in BROKEN} == dict.fromkeys(BROKEN, 0), books["problems"]


def added(deployment: Deployment, customer: int) -> float:
    """Units that the counter holds for a customer, over all windows: names are customer and window."""
    return sum(units for name, units in deployment.counter.added.items() if int(name, 16) >> 24 == customer)


def came(deployment: Deployment) -> int:
    """Commands that have come to boxes."""
    return sum(len(box.came) for box in deployment.boxes)


async def news_of(gateway: Gateway) -> dict[str, Any]:
    """What an instance's state file says, written from now on."""
    before = gateway.place.read()["at"]
    await until(lambda: gateway.place.read()["at"] > before)
    return gateway.place.read()


async def until(true: Callable[[], bool]) -> None:
    """Wait for an event."""
    async with asyncio.timeout(10):
        while not true():
            await asyncio.sleep(0.002)


def test_a_lookup_of_a_killed_gateway_is_served_by_another(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            owner, *others = [await Caller.to(gateway) for gateway in deployment.gateways]
            words = ["CALL.GET", f"{77:016x}", "r1", "c=lookup,t=standard,d=1500,units=1"]
            owner.command(*words)
            await until(lambda: came(deployment) == 1)
            deployment.gateways[0].process.kill()
            assert await owner.answer() == b""
            words[3] += ",back=1"
            others[0].command(*words)
            assert await others[0].answer() == b"done r1"
            others[1].command(*words)  # and again, of another one: the same answer, and nothing runs
            assert await others[1].answer() == b"done r1"
            assert came(deployment) == 2

    run(scenario)


COMMIT = ["CALL.POST", f"{77:016x}", "r1", "c=port-commit,t=standard,d=7000,units=2", "body"]


def back(words: list[str]) -> list[str]:
    """The same call of a client that comes back for it."""
    return [*words[:3], f"{words[3]},back=1", *words[4:]]


def patiently(text: str) -> str:
    """Calls to the counter may take two seconds."""
    return text.replace("[counter]", "[counter]\ntime_limit_ms = 2000")


def test_an_effect_that_was_never_sent_is_carried_on_once_with_its_units_taken_once(tmp_path: Path) -> None:
    """Killed while the counter has its add and has not answered."""

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, edit=patiently) as deployment:
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, other, third = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await until(lambda: added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.02)
            deployment.gateways[0].process.kill()
            assert await owner.answer() == b""
            assert came(deployment) == 0
            other.command(*back(COMMIT))
            third.command(*back(COMMIT))
            assert await other.answer() == await third.answer() == b"done r1"
            assert came(deployment) == 1
            await asyncio.sleep(0.7)
            assert added(deployment, 77) == 2.0

    run(scenario)


def test_what_had_no_room_in_its_quota_is_not_carried_on(tmp_path: Path) -> None:
    """Killed before it could read the total, which others had used up; its own units go back."""

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, edit=patiently) as deployment:
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, other, _ = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await until(lambda: added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.02)
            deployment.gateways[0].process.kill()
            assert await owner.answer() == b""
            (name,) = [name for name in deployment.counter.added if int(name, 16) >> 24 == 77]
            deployment.counter.bump(name, 1_000.0, 60_000)
            deployment.counter_faults.off()
            other.command(*back(COMMIT))
            assert (await other.answer()).startswith(b"-BUSY")
            await until(lambda: added(deployment, 77) == 1_000.0)
            assert came(deployment) == 0

    run(scenario)


@pytest.mark.parametrize("at", [0, 1])
def test_an_effect_that_may_have_run_is_never_sent_again_and_its_end_is_told_as_unknown(
    tmp_path: Path, at: int
) -> None:
    """Whichever instance the client comes to, its keeper or the other one."""

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, *others = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await until(lambda: came(deployment) == 1)
            deployment.gateways[0].process.kill()
            for caller in (others[at], others[1 - at]):
                caller.command(*back(COMMIT))
                assert (await caller.answer()).startswith(b"-UNKNOWN")
            await asyncio.sleep(0.6)
            assert came(deployment) == 1

    run(scenario)


def test_records_tell_who_was_lost_and_what_passed_to_whom(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, other, _ = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await until(lambda: came(deployment) == 1)
            deployment.gateways[0].process.kill()
            other.command(*back(COMMIT))
            assert (await other.answer()).startswith(b"-UNKNOWN")
            await deployment.stop()
            told = [read(tmp_path / f"g{number}" / "records.jsonl").lines for number in (1, 2)]
            for lines in told:
                seen = [(line["name"], line["is"]) for line in lines if line["record"] == "instance"]
                assert ("g0", "up") in seen and ("g0", "dead") in seen
            (passed,) = [line for lines in told for line in lines if line["record"] == "passed"]
            assert (passed["id"], passed["class"], passed["here"]) == ("r1", "port-commit", True)
            assert (passed["other"], passed["how"]) == ("g0", "unknown")
            work = [line["work"] for lines in told for line in lines if line["record"] == "counts"]
            assert sum(one.get("taken_over", 0) for one in work) == 1
            assert sum(one.get("told_unknown", 0) for one in work) == 1

    run(scenario)


def test_operators_see_what_is_in_hand(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, zones=3) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*COMMIT)
            await until(lambda: came(deployment) == 1)
            words = [word for gateway in deployment.gateways for word in ("--config", str(gateway.config))]
            assert await asyncio.to_thread(main, ["fleet", "work", *words]) == 0
            told = json.loads(capsys.readouterr().out)
            (row,) = told["g0"]["requests"]
            assert (row["id"], row["stage"], row["why_not"], row["taken_over"]) == ("r1", "sent", "", 0)
            assert told[row["covered_by"]]["kept_for"] == {"g0": 1}
            assert set(told["g0"]["peers"].values()) == {"up"}

    run(scenario)


def test_an_answer_is_told_again_and_nothing_runs(tmp_path: Path) -> None:
    """Killed after its answer had gone out, which the client says that it never had."""

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            owner, *others = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            assert await owner.answer() == b"done r1"
            deployment.gateways[0].process.kill()
            for caller in others:
                caller.command(*back(COMMIT))
                assert await caller.answer() == b"done r1"
            assert came(deployment) == 1

    run(scenario)


def test_what_nobody_holds_is_never_run_as_new(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            caller = await Caller.to(deployment.gateways[0])
            caller.command(*back(COMMIT))
            assert (await caller.answer()).startswith(b"-UNKNOWN")
            caller.command(*back(["CALL.GET", f"{77:016x}", "r2", "c=lookup,t=standard,d=1500,units=1"]))
            assert (await caller.answer()).startswith(b"-BUSY")
            assert came(deployment) == 0

    run(scenario)


def test_a_client_that_comes_back_while_its_gateway_lives_waits_for_the_one_run(tmp_path: Path) -> None:
    """At three instances in the same moment, one of them the owner."""

    async def scenario() -> None:
        async with fleet(tmp_path, 4, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            callers = [await Caller.to(gateway) for gateway in deployment.gateways]
            callers[0].command(*COMMIT)
            await until(lambda: came(deployment) == 1)
            again = [await Caller.to(deployment.gateways[0]), *callers[1:]]
            for caller in again:
                caller.command(*back(COMMIT))
            assert {await caller.answer() for caller in [callers[0], *again]} == {b"done r1"}
            assert came(deployment) == 1

    run(scenario)


@pytest.mark.whole_machine
@pytest.mark.parametrize("seed", [1, 2])
def test_ten_of_twenty_killed_together_under_load_of_all_effects(tmp_path: Path, seed: int) -> None:
    """What they held is answered elsewhere in time; nothing is lost, told twice, or run twice."""

    async def scenario() -> None:
        async with fleet(
            tmp_path, 20, rate=300, seed=seed, boxes=24, edit=patiently, takeover=True, zones=3, keyed=True
        ) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.12))
            play = asyncio.ensure_future(deployment.play(4.0))
            await asyncio.sleep(1.5)
            deployment.do("kill", tuple(range(seed % 2, 20, 2)))
            await play
            await asyncio.sleep(1.0)
            await deployment.front.settle(10)
            clean(deployment)
            losses = [loss for loss in deployment.front.losses if loss.left >= 0.15]
            assert len(losses) >= 10  # else the kill hit nothing
            assert all(loss.how for loss in losses), losses
            assert {loss.cls for loss in losses} == {cls.name for cls in deployment.classes}

    run(scenario, 120)


@pytest.mark.whole_machine
def test_a_whole_zones_gateways_killed_together(tmp_path: Path) -> None:
    """Their keepers are in other zones: all that had come to a box is found there."""

    async def scenario() -> None:
        async with fleet(
            tmp_path, 9, rate=150, boxes=16, edit=patiently, takeover=True, zones=3
        ) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.2))
            play = asyncio.ensure_future(deployment.play(3.0))
            doomed = [deployment.gateways[n].gate for n in (0, 3, 6)]
            await until(lambda: sum(link.ask is not None for gate in doomed for link in gate.links) >= 12)
            deployment.do("kill", (0, 3, 6))
            await play
            await deployment.front.settle(10)
            clean(deployment)
            losses = [loss for loss in deployment.front.losses if loss.came and loss.left >= 0.15]
            ends = {(loss.cls, loss.how) for loss in losses}
            # The others may refuse what would be more than the boxes bear; it harms nobody.
            served, busy, unknown = ("lookup", "served"), ("lookup", "busy"), ("port-commit", "unknown")
            assert len(losses) >= 3 and served in ends and ends <= {served, busy, unknown}, losses
            found = 0
            for gateway in deployment.gateways:
                if gateway.code is None:
                    counts = (await news_of(gateway))["takeover"]["counts"]
                    found += counts["taken_over"] + counts["told_again"]
            assert found >= len(losses)

    run(scenario, 120)

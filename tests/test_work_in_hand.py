"""In-flight requests that outlive their gateway: several real processes, killed while requests are open."""

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
    report = deployment.ledger.report()
    assert {name: report[name] for name in BROKEN} == dict.fromkeys(BROKEN, 0), report["problems"]


def units_added(deployment: Deployment, customer: int) -> float:
    """Returns the units on the counter for a customer over all windows; names hold customer and window."""
    return sum(units for name, units in deployment.counter.added.items() if int(name, 16) >> 24 == customer)


def commands_received(deployment: Deployment) -> int:
    """Returns the number of commands that boxes have received."""
    return sum(len(box.came) for box in deployment.boxes)


async def fresh_state(gateway: Gateway) -> dict[str, Any]:
    """Returns an instance's state file, written after this call."""
    before = gateway.place.read()["at"]
    await wait_until(lambda: gateway.place.read()["at"] > before)
    return gateway.place.read()


async def wait_until(true: Callable[[], bool]) -> None:
    """Waits for a condition."""
    async with asyncio.timeout(10):
        while not true():
            await asyncio.sleep(0.002)


def test_a_lookup_of_a_killed_gateway_is_served_by_another(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            owner, *others = [await Caller.to(gateway) for gateway in deployment.gateways]
            call = ["CALL.GET", f"{77:016x}", "r1", "c=lookup,t=standard,d=1500,units=1"]
            owner.command(*call)
            await wait_until(lambda: commands_received(deployment) == 1)
            deployment.gateways[0].process.kill()
            assert await owner.answer() == b""
            call[3] += ",back=1"
            others[0].command(*call)
            assert await others[0].answer() == b"done r1"
            others[1].command(*call)  # once more at another instance: the same answer, and nothing runs
            assert await others[1].answer() == b"done r1"
            assert commands_received(deployment) == 2

    run(scenario)


COMMIT = ["CALL.POST", f"{77:016x}", "r1", "c=port-commit,t=standard,d=7000,units=2", "body"]


def as_returning(call: list[str]) -> list[str]:
    """Returns the same call from a client that returns for its answer."""
    return [*call[:3], f"{call[3]},back=1", *call[4:]]


def with_slow_counter(text: str) -> str:
    """Allows calls to the counter to take two seconds."""
    return text.replace("[counter]", "[counter]\ntime_limit_ms = 2000")


def test_an_effect_that_was_never_sent_is_resumed_once_with_its_units_taken_once(tmp_path: Path) -> None:
    """The owner is killed while the counter has its increment and has not answered."""

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, edit=with_slow_counter) as deployment:
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, other, third = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await wait_until(lambda: units_added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.02)
            deployment.gateways[0].process.kill()
            assert await owner.answer() == b""
            assert commands_received(deployment) == 0
            other.command(*as_returning(COMMIT))
            third.command(*as_returning(COMMIT))
            assert await other.answer() == await third.answer() == b"done r1"
            assert commands_received(deployment) == 1
            await asyncio.sleep(0.7)
            assert units_added(deployment, 77) == 2.0

    run(scenario)


def test_a_request_over_its_quota_is_not_resumed(tmp_path: Path) -> None:
    """The owner is killed before it could read the total, which others had used up.

    Its own units are refunded.
    """

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, edit=with_slow_counter) as deployment:
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, other, _ = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await wait_until(lambda: units_added(deployment, 77) >= 2.0)
            await asyncio.sleep(0.02)
            deployment.gateways[0].process.kill()
            assert await owner.answer() == b""
            (name,) = [name for name in deployment.counter.added if int(name, 16) >> 24 == 77]
            deployment.counter.bump(name, 1_000.0, 60_000)
            deployment.counter_faults.off()
            other.command(*as_returning(COMMIT))
            assert (await other.answer()).startswith(b"-BUSY")
            await wait_until(lambda: units_added(deployment, 77) == 1_000.0)
            assert commands_received(deployment) == 0

    run(scenario)


@pytest.mark.parametrize("at", [0, 1])
def test_an_effect_that_may_have_run_is_never_sent_again_and_reported_as_unknown(
    tmp_path: Path, at: int
) -> None:
    """This holds at either instance to which the client returns: the keeper or the other one."""

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, *others = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await wait_until(lambda: commands_received(deployment) == 1)
            deployment.gateways[0].process.kill()
            for caller in (others[at], others[1 - at]):
                caller.command(*as_returning(COMMIT))
                assert (await caller.answer()).startswith(b"-UNKNOWN")
            await asyncio.sleep(0.6)
            assert commands_received(deployment) == 1

    run(scenario)


def test_records_show_lost_instances_and_takeovers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner, other, _ = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            await wait_until(lambda: commands_received(deployment) == 1)
            deployment.gateways[0].process.kill()
            other.command(*as_returning(COMMIT))
            assert (await other.answer()).startswith(b"-UNKNOWN")
            await deployment.stop()
            records = [read(tmp_path / f"g{number}" / "records.jsonl").lines for number in (1, 2)]
            for lines in records:
                states = [(line["name"], line["is"]) for line in lines if line["record"] == "instance"]
                assert ("g0", "up") in states and ("g0", "dead") in states
            (passed,) = [line for lines in records for line in lines if line["record"] == "passed"]
            assert (passed["id"], passed["class"], passed["here"]) == ("r1", "port-commit", True)
            assert (passed["other"], passed["how"]) == ("g0", "unknown")
            work = [line["work"] for lines in records for line in lines if line["record"] == "counts"]
            assert sum(one.get("taken_over", 0) for one in work) == 1
            assert sum(one.get("told_unknown", 0) for one in work) == 1

    run(scenario)


def test_operators_see_open_requests(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, zones=3) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*COMMIT)
            await wait_until(lambda: commands_received(deployment) == 1)
            configs = [word for gateway in deployment.gateways for word in ("--config", str(gateway.config))]
            assert await asyncio.to_thread(main, ["fleet", "work", *configs]) == 0
            status = json.loads(capsys.readouterr().out)
            (row,) = status["g0"]["requests"]
            assert (row["id"], row["stage"], row["why_not"], row["taken_over"]) == ("r1", "sent", "", 0)
            assert status[row["covered_by"]]["kept_for"] == {"g0": 1}
            assert set(status["g0"]["peers"].values()) == {"up"}

    run(scenario)


def test_an_answer_is_repeated_and_nothing_runs(tmp_path: Path) -> None:
    """The owner is killed after it sent its answer, which the client claims not to have received."""

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            owner, *others = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            assert await owner.answer() == b"done r1"
            deployment.gateways[0].process.kill()
            for caller in others:
                caller.command(*as_returning(COMMIT))
                assert await caller.answer() == b"done r1"
            assert commands_received(deployment) == 1

    run(scenario)


def test_a_returning_clients_request_that_nobody_holds_is_never_run(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True) as deployment:
            caller = await Caller.to(deployment.gateways[0])
            caller.command(*as_returning(COMMIT))
            assert (await caller.answer()).startswith(b"-UNKNOWN")
            caller.command(
                *as_returning(["CALL.GET", f"{77:016x}", "r2", "c=lookup,t=standard,d=1500,units=1"])
            )
            assert (await caller.answer()).startswith(b"-BUSY")
            assert commands_received(deployment) == 0

    run(scenario)


def test_a_client_that_returns_while_its_gateway_lives_waits_for_the_one_run(tmp_path: Path) -> None:
    """Clients return to three instances at the same time, one of them the owner."""

    async def scenario() -> None:
        async with fleet(tmp_path, 4, takeover=True) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            callers = [await Caller.to(gateway) for gateway in deployment.gateways]
            callers[0].command(*COMMIT)
            await wait_until(lambda: commands_received(deployment) == 1)
            again = [await Caller.to(deployment.gateways[0]), *callers[1:]]
            for caller in again:
                caller.command(*as_returning(COMMIT))
            assert {await caller.answer() for caller in [callers[0], *again]} == {b"done r1"}
            assert commands_received(deployment) == 1

    run(scenario)


@pytest.mark.whole_machine
@pytest.mark.parametrize("seed", [1, 2])
def test_ten_of_twenty_killed_together_under_load_of_all_effects(tmp_path: Path, seed: int) -> None:
    """Their requests are answered elsewhere in time; none is lost, answered differently or run twice."""

    async def scenario() -> None:
        async with fleet(
            tmp_path,
            20,
            rate=300,
            seed=seed,
            boxes=24,
            edit=with_slow_counter,
            takeover=True,
            zones=3,
            keyed=True,
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
            assert len(losses) >= 10  # otherwise the kill affected no request
            assert all(loss.how for loss in losses), losses
            assert {loss.cls for loss in losses} == {cls.name for cls in deployment.classes}

    run(scenario, 120)


@pytest.mark.whole_machine
def test_all_gateways_of_a_zone_killed_together(tmp_path: Path) -> None:
    """Their keepers are in other zones: every request that had reached a box is found there."""

    async def scenario() -> None:
        async with fleet(
            tmp_path, 9, rate=150, boxes=16, edit=with_slow_counter, takeover=True, zones=3
        ) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.2))
            play = asyncio.ensure_future(deployment.play(3.0))
            doomed = [deployment.gateways[n].gate for n in (0, 3, 6)]
            await wait_until(
                lambda: sum(link.ask is not None for gate in doomed for link in gate.links) >= 12
            )
            deployment.do("kill", (0, 3, 6))
            await play
            await deployment.front.settle(10)
            clean(deployment)
            losses = [loss for loss in deployment.front.losses if loss.came and loss.left >= 0.15]
            ends = {(loss.cls, loss.how) for loss in losses}
            # The others may refuse what would overload the boxes; this is harmless.
            served, busy, unknown = ("lookup", "served"), ("lookup", "busy"), ("port-commit", "unknown")
            assert len(losses) >= 3 and served in ends and ends <= {served, busy, unknown}, losses
            found = 0
            for gateway in deployment.gateways:
                if gateway.code is None:
                    counts = (await fresh_state(gateway))["takeover"]["counts"]
                    found += counts["taken_over"] + counts["told_again"]
            assert found >= len(losses)

    run(scenario, 120)

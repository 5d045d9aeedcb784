"""Combined failures: owner and keeper, a successor during its takeover, a restart; and faulty links."""

import asyncio
from pathlib import Path

import pytest

from lynxreel.local.deployment import Deployment
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import Caller, fleet, run
from tests.test_rights import takeover_status
from tests.test_work_in_hand import (
    COMMIT,
    as_returning,
    clean,
    commands_received,
    wait_until,
    with_slow_counter,
)

LOOKUP = ["CALL.GET", f"{77:016x}", "r1", "c=lookup,t=standard,d=1900,units=1"]


async def keeper_of(deployment: Deployment, number: int) -> int:
    """Returns the keeper of the one open request of an instance."""
    (name,) = (await takeover_status(deployment.gateways[number]))["covered_by"]
    return int(name[1:])


@pytest.mark.parametrize(("call", "told"), [(COMMIT, b"-UNKNOWN"), (LOOKUP, b"-BUSY")])
def test_owner_and_keeper_killed_together(tmp_path: Path, call: list[str], told: bytes) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, zones=3) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*call)
            await wait_until(lambda: commands_received(deployment) == 1)
            keeper = await keeper_of(deployment, 0)
            for number in (0, keeper):
                deployment.gateways[number].process.kill()
            other = await Caller.to(deployment.gateways[3 - keeper])
            other.command(*as_returning(call))
            assert (await other.answer()).startswith(told)
            await asyncio.sleep(0.4)
            assert commands_received(deployment) == 1

    run(scenario)


@pytest.mark.parametrize(("call", "told", "runs"), [(COMMIT, b"-UNKNOWN", 1), (LOOKUP, b"done r1", 3)])
def test_the_successor_is_killed_during_its_takeover(
    tmp_path: Path, call: list[str], told: bytes, runs: int
) -> None:
    """Its own keeper takes over: an effect has run once, a lookup runs a third time and is served."""

    async def scenario() -> None:
        async with fleet(tmp_path, 4, takeover=True, zones=4, edit=with_slow_counter) as deployment:
            effect = call is COMMIT
            if effect:
                deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.3))
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.2))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*call)
            await wait_until(
                lambda: deployment.counter.calls > 0 if effect else commands_received(deployment) == 1
            )
            await asyncio.sleep(0.02)
            keeper = await keeper_of(deployment, 0)
            deployment.gateways[0].process.kill()
            third = next(number for number in (1, 2, 3) if number != keeper)
            other = await Caller.to(deployment.gateways[third])
            other.command(*as_returning(call))
            await wait_until(lambda: commands_received(deployment) == (1 if effect else 2))
            deployment.gateways[keeper].process.kill()
            assert (await other.answer()).startswith(told)
            assert commands_received(deployment) == runs

    run(scenario)


def test_an_instance_restarted_under_its_old_name_is_a_new_incarnation(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, zones=3) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.2))
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*LOOKUP)
            await wait_until(lambda: commands_received(deployment) == 1)
            keeper = await keeper_of(deployment, 0)
            before = (await takeover_status(deployment.gateways[0]))["incarnation"]
            await deployment.restart(0)
            other = await Caller.to(deployment.gateways[3 - keeper])
            other.command(*as_returning(LOOKUP))
            assert await other.answer() == b"done r1"
            await wait_until(lambda: deployment.gateways[0].gate.up and deployment.gateways[0].place.held())
            assert (await takeover_status(deployment.gateways[0]))["incarnation"] > before
            again = await Caller.to(deployment.gateways[0])
            again.command(*as_returning(LOOKUP))
            assert await again.answer() == b"done r1"
            assert commands_received(deployment) == 2

    run(scenario)


def test_links_that_lose_double_and_swap_while_a_third_is_killed_under_load(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(
            tmp_path, 6, rate=120, boxes=16, edit=with_slow_counter, takeover=True, zones=3, wires=True
        ) as deployment:
            for kind in (Kind.LOSE, Kind.TWICE, Kind.SWAP, Kind.SLOW):
                deployment.wire_faults.on(Fault(kind, share=0.1, delay=0.01))
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.1))
            play = asyncio.ensure_future(deployment.play(4.0))
            await wait_until(lambda: commands_received(deployment) >= 100)
            deployment.do("kill", (0, 4))
            await play
            await deployment.front.settle(10)
            clean(deployment)
            struck = {kind for wire in deployment.wires.values() for kind in wire.struck}
            assert {Kind.LOSE, Kind.TWICE, Kind.SWAP} <= struck
            assert all(loss.how for loss in deployment.front.losses if loss.left >= 0.5)

    run(scenario)


def test_a_keeper_that_is_stopped_hands_off_replicas_of_dead_owners(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, 4, takeover=True, zones=4) as deployment:
            owner = await Caller.to(deployment.gateways[0])
            owner.command(*COMMIT)
            assert await owner.answer() == b"done r1"
            kept = {n: (await takeover_status(deployment.gateways[n]))["kept_for"] for n in (1, 2, 3)}
            (keeper,) = [number for number, told in kept.items() if told]
            deployment.gateways[0].process.kill()
            await deployment.gateways[0].process.wait()
            while (await takeover_status(deployment.gateways[keeper]))["peers"]["g0"] != "dead":
                await asyncio.sleep(0.01)
            deployment.do("stop", (keeper,))
            assert await deployment.gateways[keeper].process.wait() == 0
            for number in {1, 2, 3} - {keeper}:
                other = await Caller.to(deployment.gateways[number])
                other.command(*as_returning(COMMIT))
                assert await other.answer() == b"done r1"
            assert commands_received(deployment) == 1

    run(scenario, 90)


def test_a_rolling_restart_under_load(tmp_path: Path) -> None:
    """Instances are stopped as by operators; nothing is lost, late, answered differently or run twice."""

    async def scenario() -> None:
        async with fleet(tmp_path, 4, rate=80, takeover=True, zones=2, edit=with_slow_counter) as deployment:
            play = asyncio.ensure_future(deployment.play(12.0))
            for number in range(4):
                gateway = deployment.gateways[number]
                deployment.do("stop", (number,))
                assert await gateway.process.wait() == 0
                again = await deployment.start_again(number)
                await wait_until(lambda again=again: again.gate.up)  # type: ignore[misc]
            await play
            await deployment.front.settle(10)
            clean(deployment)
            assert deployment.ledger.total("served") > 200

    run(scenario, 90)


@pytest.mark.parametrize(("memory", "told", "runs"), [(5_000, b"done r1", 2), (300, b"-UNKNOWN", 1)])
def test_an_effect_by_key_is_sent_again_while_boxes_drop_repeats(
    tmp_path: Path, memory: int, told: bytes, runs: int
) -> None:
    """It is sent again under the same key; after the boxes' key memory it is reported as unknown."""

    def by_key(text: str) -> str:
        return text.replace('effect = "once"', f'effect = "by_key"\nkey_memory_ms = {memory}')

    async def scenario() -> None:
        async with fleet(tmp_path, 3, takeover=True, zones=3, edit=by_key) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.2))
            call = [*COMMIT[:3], f"{COMMIT[3]},k=key-1", "body"]
            owner, other, _ = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*call)
            await wait_until(lambda: commands_received(deployment) == 1)
            deployment.gateways[0].process.kill()
            await asyncio.sleep(0.1)
            other.command(*as_returning(call))
            assert (await other.answer()).startswith(told)
            assert commands_received(deployment) == runs

    run(scenario)

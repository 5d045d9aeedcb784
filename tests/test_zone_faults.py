"""Zones that fail in part, look as if they did, or fail while something else does; over twelve processes."""

import asyncio
import itertools
import json
from collections.abc import Iterable
from pathlib import Path

import pytest

from lynxreel.cli.main import main
from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.links.incarnation import next_incarnation
from lynxreel.links.mesh import Mesh, Place
from lynxreel.local.by_etcd import listed
from lynxreel.local.deployment import Gateway
from lynxreel.standins.faults import Fault, Kind
from lynxreel.takeover.messages import MESSAGE_TYPES
from lynxreel.zones.evidence import Verdict
from lynxreel.zones.member import Told
from lynxreel.zones.word import Report, Stage, Word, Zone
from tests.fleet import run
from tests.test_zones import GATEWAYS, LOST, Fleet, zoned

ZONES = ("z0", "z1", "z2")


def cut(fleet: Fleet, gateways: Iterable[Gateway], boxes: Iterable[str], back: bool = False) -> None:
    """Lose what gateways send to boxes, or `back`: only what these answer."""
    pairs = [(gateway.gate.name, box) for gateway in gateways for box in boxes]
    ways = [f"{box}>{name}" if back else f"{name}>{box}" for name, box in pairs]
    fleet.deployment.box_faults.on(*[Fault(Kind.SILENT, target=way) for way in ways])


async def until_accused(fleet: Fleet, gateways: Iterable[Gateway], zone: str) -> None:
    """Wait until each of them has seen a zone fail, of much that it tried or of little."""
    for gateway in gateways:
        while (await fleet.told([gateway]))[0]["zones"][zone]["sees"] not in ("bad", "ill"):
            await asyncio.sleep(0.02)


async def nothing_moves(fleet: Fleet, tries: int = 400) -> None:
    """So many more requests are served, and no word is written."""
    served = fleet.deployment.ledger.total("served")
    while fleet.deployment.ledger.total("served") < served + tries:
        assert {one["epoch"] for one in await fleet.told(fleet.deployment.gateways)} == {0}
        await asyncio.sleep(0.05)


def test_a_zone_that_answers_too_late_is_left_as_a_dead_one_is(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            fleet.strike(Kind.SLOW, fleet.boxes(LOST), delay=4.0)
            await fleet.all_say("away")
            fleet.deployment.box_faults.off()
            await fleet.all_say("in use")
            await fleet.over()

    run(scenario, 90)


def test_one_gateway_that_is_cut_off_from_a_zone_says_so_and_nothing_moves(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            cut(fleet, fleet.deployment.gateways[:1], fleet.boxes(LOST))
            await until_accused(fleet, fleet.deployment.gateways[:1], LOST)
            await nothing_moves(fleet)
            await fleet.over()

    run(scenario, 90)


def test_a_cut_one_way_between_two_zones_moves_nothing_while_the_third_reaches_both(tmp_path: Path) -> None:
    """What its boxes answer does not come to the gateways of one zone; they run it all the same."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            blind = fleet.gateways("z0")
            came = fleet.came(LOST)
            cut(fleet, blind, fleet.boxes(LOST), back=True)
            await until_accused(fleet, blind, LOST)
            await nothing_moves(fleet)
            assert fleet.came(LOST) > came
            await fleet.over()

    run(scenario, 90)


def test_a_zone_that_is_cut_off_and_works_within_is_left_and_its_own_gateways_go_on_with_it(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            inside, outside = fleet.gateways(LOST), fleet.gateways(LOST, False)
            others = [box for zone in ZONES if zone != LOST for box in fleet.boxes(zone)]
            cut(fleet, outside, fleet.boxes(LOST))
            cut(fleet, inside, others)
            wires = [
                Fault(Kind.SILENT, target=f"{one}>{other}")
                for pair in itertools.product(inside, outside)
                for one, other in itertools.permutations(gateway.gate.name for gateway in pair)
            ]
            fleet.deployment.wire_faults.on(*wires)
            await fleet.all_say("away")
            served = fleet.deployment.ledger.counts.copy()
            came = fleet.came(LOST)
            while fleet.came(LOST) < came + 100:  # by its own gateways alone
                await asyncio.sleep(0.02)
            told = await fleet.told(inside)
            assert {one["zones"][LOST]["here"] for one in told} == {1.0}
            stages = {one["zones"][zone]["stage"] for one in told for zone in ("z0", "z1")}
            assert stages == {"in use"}  # the smaller side accuses the others, and decides nothing
            now = fleet.deployment.ledger.counts - served
            assert all(any(now[cls, g.gate.name, "served"] for cls, _, _ in now) for g in inside)
            fleet.deployment.box_faults.off()
            fleet.deployment.wire_faults.off()
            await fleet.all_say("in use", gateways=fleet.deployment.gateways)
            await fleet.over()

    run(scenario, 90)


def test_a_rogue_that_accuses_zones_and_tells_words_that_nobody_wrote_moves_nothing(tmp_path: Path) -> None:
    """It speaks in the name of an instance that has ended, as a newer life of it."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            deployment, number = fleet.deployment, GATEWAYS - 1
            deployment.do("kill", (number,))
            wires = [wire for pair, wire in deployment.wires.items() if pair[1] == number]
            while not all(deployment.wire_faults.dead(wire.name, 0.0) for wire in wires):
                await asyncio.sleep(0.01)  # until they refuse connects, as it has ended
            for wire in wires:
                wire.ended(False)
            own = Place(f"g{number}", f"z{number % 3}", deployment.links[number])
            others = [
                Place(f"g{n}", f"z{n % 3}", deployment.wires[number, n].listener.address)
                for n in range(number)
            ]
            life = next_incarnation(tmp_path / own.name)
            mesh = Mesh(own, life, others, asyncio.get_running_loop())
            mesh.join((Report, Told, *MESSAGE_TYPES), lambda *_: None, lambda _: None)
            await mesh.open()
            lie = Word(7, "g0", {zone: Zone(Stage.AWAY, 0, 7) for zone in ZONES})

            async def speak() -> None:
                for accused in itertools.cycle((ZONES, ("z0",), ("z1",))):
                    verdicts = {zone: int(Verdict.BAD if zone in accused else Verdict.GOOD) for zone in ZONES}
                    for place in others:
                        mesh.say(place.name, Report(verdicts, False, 7))
                        mesh.say(place.name, Told(lie))
                    await asyncio.sleep(0.1)

            speaking = asyncio.ensure_future(speak())
            while mesh.counts["said"] < 40 * number:
                await asyncio.sleep(0.02)
            await nothing_moves(fleet)
            speaking.cancel()
            mesh.close()
            await fleet.over()

    run(scenario, 90)


def test_two_zones_fail_a_second_apart_and_whoever_writes_the_next_word_dies(tmp_path: Path) -> None:
    """One of them is left, the other one stays with each gateway; with both back all is in use again."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            fleet.strike(Kind.DEAD, fleet.boxes(LOST))
            fleet.deployment.strike(
                ("boxes", Fault(Kind.DEAD, at=1.0, target=box)) for box in fleet.boxes("z1")
            )
            killed, epoch = list[int](), 0
            while len(killed) < 3:
                told = await fleet.told(fleet.deployment.gateways)
                newest = max(told, key=lambda one: int(one["epoch"]))
                if newest["epoch"] > epoch:
                    epoch, writer = newest["epoch"], int(newest["writer"][1:])
                    if writer not in killed:
                        killed.append(writer)
                        fleet.deployment.do("kill", (writer,))
                await asyncio.sleep(0.01)
            living = [gateway for gateway in fleet.deployment.gateways if gateway.code is None]
            left = set[str]()
            for one in await fleet.told(living):
                left |= {zone for zone in ZONES if one["zones"][zone]["stage"] != "in use"}
            assert len(left) == 1 and left < {LOST, "z1"}
            fleet.deployment.box_faults.off()
            await fleet.all_say("in use", left.pop(), living)
            assert all(one["epoch"] > epoch for one in await fleet.told(living))
            await fleet.over()

    run(scenario, 90)


def test_a_store_that_compacts_and_then_loses_the_word_gets_it_back_with_later_epochs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            fleet.cluster.faults.on(Fault(Kind.COMPACT))
            fleet.strike(Kind.DEAD, fleet.boxes(LOST))
            await fleet.all_say("away")
            (kept,) = fleet.cluster.under("zones")
            fleet.cluster.etcd.store.delete(pb.DeleteRangeRequest(key=kept.key))
            epoch = max(one["epoch"] for one in await fleet.told(fleet.deployment.gateways))
            fleet.deployment.box_faults.off()
            await fleet.all_say("in use")
            assert all(one["epoch"] > epoch for one in await fleet.told(fleet.gateways(LOST, False)))
            await fleet.over()

    run(scenario, 90)


def test_a_zone_that_comes_back_with_a_quarter_of_its_boxes_waits_for_a_list_without_the_others(
    tmp_path: Path,
) -> None:
    """The load doubles at the same time."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            deployment, (back, *dead) = fleet.deployment, fleet.boxes(LOST)
            fleet.strike(Kind.DEAD, [back, *dead])
            await fleet.all_say("away")
            flaps = max(one["zones"][LOST]["flaps"] for one in await fleet.told(fleet.gateways(LOST, False)))
            deployment.box_faults.off()
            fleet.strike(Kind.DEAD, dead)
            more = asyncio.ensure_future(deployment.play(1e9))
            outside = fleet.gateways(LOST, False)
            while not all(one["zones"][LOST]["flaps"] > flaps for one in await fleet.told(outside)):
                await asyncio.sleep(0.05)
            fleet.cluster.do(*[fleet.cluster.delete_op(box) for box in dead])
            await fleet.all_say("in use")
            assert {one["zones"][LOST]["boxes"] for one in await fleet.told(outside)} == {1}
            fleet.cluster.put(*[box for box in listed(deployment, zones=3) if box.id in dead])
            more.cancel()
            await fleet.over()

    run(scenario, 90)


def test_operators_go_before_the_fleet_and_never_beyond_what_may_be_away(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            config = ["--config", str(fleet.deployment.gateways[0].config)]

            async def order(*words: str) -> None:
                assert await asyncio.to_thread(main, ["zones", *config, *words]) == 0
                capsys.readouterr()

            await order("hold", LOST)
            fleet.strike(Kind.DEAD, fleet.boxes(LOST))
            outside = fleet.gateways(LOST, False)
            await until_accused(fleet, outside, LOST)
            await fleet.all_say("in use")
            await order("free", LOST)
            await fleet.all_say("away")
            await order("leave", "z0")  # the rest would bear no more
            await order("return", LOST)  # though it is dead: those that try it for all find that out
            await fleet.all_say("trial")
            told = await fleet.told(outside)
            assert {one["zones"]["z0"]["stage"] for one in told} == {"in use"}
            assert sum(one["zones"][LOST]["here"] for one in told) == 2.0
            await fleet.over()

    run(scenario, 90)


def test_a_zone_that_is_well_is_left_once_the_rest_bears_what_it_does(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            config = ["--config", str(fleet.deployment.gateways[0].config)]
            outside, few = fleet.gateways("z1", False), [*fleet.boxes("z0")[1:], *fleet.boxes("z2")[1:]]
            fleet.cluster.do(*[fleet.cluster.delete_op(box) for box in few])
            fleet.strike(Kind.SLOW, ["*"], delay=0.1)

            async def crowded() -> bool:
                told = [one["zones"]["z1"] for one in await fleet.told(outside)]
                return all(one["out"] > 2 * one["rest_bears"] for one in told)

            while not await crowded():
                await asyncio.sleep(0.05)
            assert await asyncio.to_thread(main, ["zones", *config, "leave", "z1", "--dry-run"]) == 0
            assert json.loads(capsys.readouterr().out)["follows"]["stage"] == "in use"
            assert await asyncio.to_thread(main, ["zones", *config, "leave", "z1"]) == 0
            while {one["zones"]["z1"]["hand"] for one in await fleet.told(outside)} != {"leave"}:
                await asyncio.sleep(0.02)
            came = fleet.came("z1")
            while fleet.came("z1") < came + 100:
                await asyncio.sleep(0.02)
            assert {one["zones"]["z1"]["stage"] for one in await fleet.told(outside)} == {"in use"}
            fleet.cluster.put(*[box for box in listed(fleet.deployment, zones=3) if box.id in few])
            await fleet.all_say("away", "z1")
            await fleet.over()

    run(scenario, 90)

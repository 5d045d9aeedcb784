"""Zones that fail in part, seem to fail, or fail along with something else, over twelve processes."""

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
from lynxreel.zones.member import DecisionMessage
from lynxreel.zones.word import Report, Stage, ZoneDecision, ZoneState
from tests.fleet import run
from tests.test_zones import GATEWAYS, LOST, Fleet, zoned

ZONES = ("z0", "z1", "z2")


def cut(fleet: Fleet, gateways: Iterable[Gateway], boxes: Iterable[str], back: bool = False) -> None:
    """Drops what gateways send to boxes, or with `back` only the boxes' answers."""
    pairs = [(gateway.gate.name, box) for gateway in gateways for box in boxes]
    targets = [f"{box}>{name}" if back else f"{name}>{box}" for name, box in pairs]
    fleet.deployment.box_faults.on(*[Fault(Kind.SILENT, target=target) for target in targets])


async def until_accused(fleet: Fleet, gateways: Iterable[Gateway], zone: str) -> None:
    """Waits until each of them has the verdict "bad" or "ill" on a zone."""
    for gateway in gateways:
        while (await fleet.told([gateway]))[0]["zones"][zone]["sees"] not in ("bad", "ill"):
            await asyncio.sleep(0.02)


async def no_decision(fleet: Fleet, requests: int = 400) -> None:
    """Waits until this many more requests are served; no decision may be written meanwhile."""
    served = fleet.deployment.ledger.total("served")
    while fleet.deployment.ledger.total("served") < served + requests:
        assert {one["epoch"] for one in await fleet.told(fleet.deployment.gateways)} == {0}
        await asyncio.sleep(0.05)


def test_a_zone_that_answers_too_late_is_left_like_a_dead_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            fleet.strike(Kind.SLOW, fleet.boxes(LOST), delay=4.0)
            await fleet.all_say("away")
            fleet.deployment.box_faults.off()
            await fleet.all_say("in use")
            await fleet.over()

    run(scenario, 90)


def test_one_gateway_that_is_cut_off_from_a_zone_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            cut(fleet, fleet.deployment.gateways[:1], fleet.boxes(LOST))
            await until_accused(fleet, fleet.deployment.gateways[:1], LOST)
            await no_decision(fleet)
            await fleet.over()

    run(scenario, 90)


def test_one_way_loss_between_two_zones_changes_nothing_while_the_third_reaches_both(tmp_path: Path) -> None:
    """Gateways of one zone don't receive the answers of its boxes, which run the requests all the same."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            affected = fleet.gateways("z0")
            came = fleet.came(LOST)
            cut(fleet, affected, fleet.boxes(LOST), back=True)
            await until_accused(fleet, affected, LOST)
            await no_decision(fleet)
            assert fleet.came(LOST) > came
            await fleet.over()

    run(scenario, 90)


def test_a_zone_that_is_cut_off_is_left_and_its_own_gateways_keep_using_it(
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
            while fleet.came(LOST) < came + 100:  # sent by its own gateways alone
                await asyncio.sleep(0.02)
            statuses = await fleet.told(inside)
            assert {one["zones"][LOST]["here"] for one in statuses} == {1.0}
            stages = {one["zones"][zone]["stage"] for one in statuses for zone in ("z0", "z1")}
            assert stages == {"in use"}  # the smaller side sees the other zones fail, and can't decide
            since = fleet.deployment.ledger.counts - served
            assert all(any(since[cls, g.gate.name, "served"] for cls, _, _ in since) for g in inside)
            fleet.deployment.box_faults.off()
            fleet.deployment.wire_faults.off()
            await fleet.all_say("in use", gateways=fleet.deployment.gateways)
            await fleet.over()

    run(scenario, 90)


def test_a_rogue_instance_that_sends_false_reports_and_decisions_changes_nothing(tmp_path: Path) -> None:
    """It uses the name of an instance that has ended, with a later incarnation."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            deployment, number = fleet.deployment, GATEWAYS - 1
            deployment.do("kill", (number,))
            wires = [wire for pair, wire in deployment.wires.items() if pair[1] == number]
            while not all(deployment.wire_faults.dead(wire.name, 0.0) for wire in wires):
                await asyncio.sleep(0.01)  # until they refuse connects, as the process has ended
            for wire in wires:
                wire.ended(False)
            own = Place(f"g{number}", f"z{number % 3}", deployment.links[number])
            others = [
                Place(f"g{n}", f"z{n % 3}", deployment.wires[number, n].listener.address)
                for n in range(number)
            ]
            incarnation = next_incarnation(tmp_path / own.name)
            mesh = Mesh(own, incarnation, others, asyncio.get_running_loop())
            mesh.register((Report, DecisionMessage, *MESSAGE_TYPES), lambda *_: None, lambda _: None)
            await mesh.open()
            forged = ZoneDecision(7, "g0", {zone: ZoneState(Stage.AWAY, 0, 7) for zone in ZONES})

            async def send_forged() -> None:
                for failing in itertools.cycle((ZONES, ("z0",), ("z1",))):
                    verdicts = {zone: int(Verdict.BAD if zone in failing else Verdict.GOOD) for zone in ZONES}
                    for place in others:
                        mesh.send(place.name, Report(verdicts, False, 7))
                        mesh.send(place.name, DecisionMessage(forged))
                    await asyncio.sleep(0.1)

            sending = asyncio.ensure_future(send_forged())
            while mesh.counts["said"] < 40 * number:
                await asyncio.sleep(0.02)
            await no_decision(fleet)
            sending.cancel()
            mesh.close()
            await fleet.over()

    run(scenario, 90)


def test_two_zones_fail_a_second_apart_and_the_first_three_writers_die(tmp_path: Path) -> None:
    """Only one of them is left; when both have recovered, all zones are in use again."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            fleet.strike(Kind.DEAD, fleet.boxes(LOST))
            fleet.deployment.strike(
                ("boxes", Fault(Kind.DEAD, at=1.0, target=box)) for box in fleet.boxes("z1")
            )
            killed, epoch = list[int](), 0
            while len(killed) < 3:
                statuses = await fleet.told(fleet.deployment.gateways)
                newest = max(statuses, key=lambda one: int(one["epoch"]))
                if newest["epoch"] > epoch:
                    epoch, writer = newest["epoch"], int(newest["writer"][1:])
                    if writer not in killed:
                        killed.append(writer)
                        fleet.deployment.do("kill", (writer,))
                await asyncio.sleep(0.01)
            running = [gateway for gateway in fleet.deployment.gateways if gateway.code is None]
            left = set[str]()
            for one in await fleet.told(running):
                left |= {zone for zone in ZONES if one["zones"][zone]["stage"] != "in use"}
            assert len(left) == 1 and left < {LOST, "z1"}
            fleet.deployment.box_faults.off()
            await fleet.all_say("in use", left.pop(), running)
            assert all(one["epoch"] > epoch for one in await fleet.told(running))
            await fleet.over()

    run(scenario, 90)


def test_a_store_that_compacts_and_then_loses_the_decision_gets_it_back_with_later_epochs(
    tmp_path: Path,
) -> None:
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


def test_a_zone_that_recovers_with_a_quarter_of_its_boxes_waits_until_the_others_are_unlisted(
    tmp_path: Path,
) -> None:
    """The load doubles at the same time."""

    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            deployment, (recovered, *dead) = fleet.deployment, fleet.boxes(LOST)
            fleet.strike(Kind.DEAD, [recovered, *dead])
            await fleet.all_say("away")
            flaps = max(one["zones"][LOST]["flaps"] for one in await fleet.told(fleet.gateways(LOST, False)))
            deployment.box_faults.off()
            fleet.strike(Kind.DEAD, dead)
            more_load = asyncio.ensure_future(deployment.play(1e9))
            outside = fleet.gateways(LOST, False)
            while not all(one["zones"][LOST]["flaps"] > flaps for one in await fleet.told(outside)):
                await asyncio.sleep(0.05)
            fleet.cluster.do(*[fleet.cluster.delete_op(box) for box in dead])
            await fleet.all_say("in use")
            assert {one["zones"][LOST]["boxes"] for one in await fleet.told(outside)} == {1}
            fleet.cluster.put(*[box for box in listed(deployment, zones=3) if box.id in dead])
            more_load.cancel()
            await fleet.over()

    run(scenario, 90)


def test_operators_orders_override_the_reports_but_not_the_limit_of_zones_away(
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
            await order("leave", "z0")  # no second zone may be left
            await order("return", LOST)  # though it is dead: the instances that run the trial use it
            await fleet.all_say("trial")
            statuses = await fleet.told(outside)
            assert {one["zones"]["z0"]["stage"] for one in statuses} == {"in use"}
            assert sum(one["zones"][LOST]["here"] for one in statuses) == 2.0
            await fleet.over()

    run(scenario, 90)


def test_a_healthy_zone_is_left_once_the_others_have_capacity_for_its_load(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        async with zoned(tmp_path) as fleet:
            config = ["--config", str(fleet.deployment.gateways[0].config)]
            outside, removed = fleet.gateways("z1", False), [*fleet.boxes("z0")[1:], *fleet.boxes("z2")[1:]]
            fleet.cluster.do(*[fleet.cluster.delete_op(box) for box in removed])
            fleet.strike(Kind.SLOW, ["*"], delay=0.1)

            async def short_of_capacity() -> bool:
                statuses = [one["zones"]["z1"] for one in await fleet.told(outside)]
                return all(one["out"] > 2 * one["rest_bears"] for one in statuses)

            while not await short_of_capacity():
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
            fleet.cluster.put(*[box for box in listed(fleet.deployment, zones=3) if box.id in removed])
            await fleet.all_say("away", "z1")
            await fleet.over()

    run(scenario, 90)

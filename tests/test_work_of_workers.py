"""Takeover between workers: one is killed, all are handed over, a whole fleet is upgraded under load."""

import asyncio
import contextlib
import json
import os
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from lynxreel.cli.main import main
from lynxreel.config.deploy import for_worker
from lynxreel.config.read import ConfigError, read
from lynxreel.local import deployment as local_deployment
from lynxreel.local.deployment import Deployment, Gateway
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import Caller, fleet, run, told
from tests.test_takeover import hand_over, start_successor
from tests.test_work_in_hand import COMMIT, as_returning, clean, commands_received, units_added, wait_until
from tests.test_workers import Edit, changed, owner, pids, server_of, slot_of

LOOKUP = ["CALL.GET", f"{77:016x}", "r1", "c=lookup,t=standard,d=1500,units=1"]


@contextlib.asynccontextmanager
async def worker_fleet(
    folder: Path, gateways: int, zones: int = 1, rate: float = 50.0, edit: Edit = str
) -> AsyncIterator[Deployment]:
    """Starts gateways of two workers each, which keep replicas of each other's requests."""
    async with fleet(folder, gateways, rate, edit=edit, takeover=True, zones=zones, workers=2) as deployment:
        try:
            for gateway in deployment.gateways:
                await told(gateway, state="ready")
            yield deployment
        finally:
            for gateway in deployment.gateways:
                for pid in pids(gateway):
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(pid, signal.SIGKILL)


@pytest.mark.parametrize("gateways", [1, 2])
def test_a_lookup_of_a_killed_worker_is_served_by_another(tmp_path: Path, gateways: int) -> None:
    """If there is no other gateway, by a worker of its own gateway."""

    async def scenario() -> None:
        async with worker_fleet(tmp_path, gateways) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            gateway = deployment.gateways[0]
            caller = await Caller.to(gateway)
            caller.command(*LOOKUP)
            await wait_until(lambda: commands_received(deployment) == 1)
            victim = owner(gateway, caller)
            slot = slot_of(gateway, victim)
            os.kill(victim, signal.SIGKILL)
            assert await caller.answer() == b""
            deployment.box_faults.off()
            for other in deployment.gateways:
                again = await Caller.to(other)
                again.command(*as_returning(LOOKUP))
                assert await again.answer() == b"done r1"
            assert commands_received(deployment) == 2
            await changed(gateway, slot, victim)
            again = await Caller.to(gateway)
            again.command(*as_returning(LOOKUP))  # the answer is the same, whichever instance has it
            assert await again.answer() == b"done r1"
            assert commands_received(deployment) == 2

    run(scenario)


@pytest.mark.parametrize("sent", [False, True])
def test_an_effect_of_a_killed_worker_runs_once_or_is_reported_as_unknown(tmp_path: Path, sent: bool) -> None:
    async def scenario() -> None:
        async with worker_fleet(tmp_path, 2) as deployment:
            (deployment.box_faults if sent else deployment.counter_faults).on(Fault(Kind.SLOW, delay=0.04))
            if sent:
                deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            gateway = deployment.gateways[0]
            caller = await Caller.to(gateway)
            assert await caller.ping() == b"+PONG"
            victim = owner(gateway, caller)
            caller.command(*COMMIT)
            if sent:
                await wait_until(lambda: commands_received(deployment) == 1)
            else:
                await wait_until(lambda: units_added(deployment, 77) >= 2.0)
                await asyncio.sleep(0.015)
            os.kill(victim, signal.SIGKILL)
            assert await caller.answer() == b""
            answers = list[bytes]()
            for other in deployment.gateways:
                again = await Caller.to(other)
                again.command(*as_returning(COMMIT))
                answers.append(await again.answer())
            assert {answer[:8] for answer in answers} == {b"-UNKNOWN" if sent else b"done r1"}
            await asyncio.sleep(0.6)
            assert (commands_received(deployment), units_added(deployment, 77)) == (1, 2.0)

    run(scenario)


def with_slow_lookups(text: str) -> str:
    """Allows lookups to take long."""
    return text.replace("aim_ms = 800", "aim_ms = 7000").replace("deadline_ms = 2000", "deadline_ms = 7500")


def test_requests_of_a_worker_killed_during_a_handover_are_taken_over_by_the_new_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with worker_fleet(tmp_path, 1, edit=with_slow_lookups) as deployment:
            (gateway,) = deployment.gateways
            deployment.box_faults.on(Fault(Kind.SLOW, delay=30.0))
            caller = await Caller.to(gateway)
            caller.command(*LOOKUP[:3], LOOKUP[3].replace("d=1500", "d=7000"))
            await wait_until(lambda: commands_received(deployment) == 1)
            victim = owner(gateway, caller)
            process = await start_successor(deployment)
            await told(gateway, state="ready", pid=process.pid)
            deployment.box_faults.off()
            os.kill(victim, signal.SIGKILL)
            assert await caller.answer() == b""
            again = await Caller.to(gateway)
            again.command(*as_returning(LOOKUP))
            assert await again.answer() == b"done r1"
            await gateway.process.wait()
            gateway.process = process
            assert victim not in pids(gateway)

    run(scenario)


async def wait_for_busy_worker(deployment: Deployment, gateway: Gateway) -> int:
    """Waits for a worker with a request at a box and more than 1.0 s to its deadline; returns its pid."""
    ledger, links = deployment.ledger, gateway.gate.links
    while True:
        now = asyncio.get_running_loop().time()
        for link in links:
            ask = link.ask
            if ask is not None and ask.entry.deadline - now > 1.0 and ledger.arrived(ask.number):
                return server_of(gateway, link.transport)
        await asyncio.sleep(0.005)


def test_a_rolling_upgrade_under_load_with_workers_killed(tmp_path: Path) -> None:
    """While each gateway is handed over, a worker of another one is killed: no rule is broken."""

    async def scenario() -> None:
        async with worker_fleet(tmp_path, 3, zones=3, rate=60.0) as deployment:
            for gateway in deployment.gateways:
                gateway.gate.frail = True
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.4))
            play = asyncio.create_task(deployment.play(1e9))
            await wait_until(lambda: deployment.ledger.total("served") > 40)
            for number in range(3):
                handover = asyncio.create_task(hand_over(deployment, number))
                other = deployment.gateways[(number + 1) % 3]
                victim = await wait_for_busy_worker(deployment, other)
                slot = slot_of(other, victim)
                os.kill(victim, signal.SIGKILL)
                await handover
                await changed(other, slot, victim)
            served = deployment.ledger.total("served")
            await wait_until(lambda: deployment.ledger.total("served") > served)
            play.cancel()
            await deployment.front.settle(5.0)
            clean(deployment)
            losses = [loss for loss in deployment.front.losses if loss.left >= 0.15]
            assert losses and all(loss.how for loss in losses), "each client that returned got an answer"

    run(scenario, 90.0)


def test_operators_see_the_requests_of_each_worker(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        async with worker_fleet(tmp_path, 2) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.8))
            caller = await Caller.to(deployment.gateways[0])
            caller.command(*COMMIT)
            await wait_until(lambda: commands_received(deployment) == 1)
            configs = [word for gateway in deployment.gateways for word in ("--config", str(gateway.config))]
            assert await asyncio.to_thread(main, ["fleet", "work", *configs]) == 0
            statuses = json.loads(capsys.readouterr().out)
            assert sorted(statuses) == [f"g{n}/worker-{slot}a" for n in (0, 1) for slot in (0, 1)]
            (row,) = [row for one in statuses.values() for row in one["requests"]]
            # Not by an instance that would die with the same machine.
            assert row["covered_by"].startswith("g1-")

    run(scenario)


# Guards the rig against ports of two gateways that lie too near for their workers.
def test_ports_of_all_workers_of_a_gateway_are_held_before_it_starts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    held = list[int]()
    row = local_deployment._row

    def recording_row(count: int) -> list[socket.socket]:
        held.append(count)
        return row(count)

    async def scenario() -> None:
        async with worker_fleet(tmp_path, 2):
            assert held == [4, 4]

    monkeypatch.setattr(local_deployment, "_row", recording_row)
    run(scenario)


def test_each_worker_listens_for_the_others_at_its_own_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with worker_fleet(tmp_path, 2) as deployment:
            config = deployment.gateways[0].config
            file = read(config)
            seen = [for_worker(file, slot, side).links for slot in (0, 1) for side in "ab"]
            names = [links.name for links in seen if links is not None]
            assert names == ["g0-0a", "g0-0b", "g0-1a", "g0-1b"]
            assert len({links.listen for links in seen if links is not None}) == 4
            assert len({links.peers for links in seen if links is not None}) == 1
            text = config.read_text()
            port = deployment.links[0][1]
            config.write_text(text.replace(f":{deployment.links[1][1]}", f":{port + 3}"))
            with pytest.raises(ConfigError, match="ports of g0 and g1 are too near"):
                read(config)
            config.write_text(text.replace(f":{port}", ":65534"))
            with pytest.raises(ConfigError, match="g0 has 4 ports from 65534 on"):
                read(config)

    run(scenario)

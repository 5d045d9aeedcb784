"""Owners that are paused at each stage of a request; links slower than a lease; counter and etcd down."""

import asyncio
import signal
from pathlib import Path

import pytest

from lynxreel.local.deployment import Deployment
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import Caller, run
from tests.test_rights import open_requests, takeover_status, wait_until_ready, wired_fleet
from tests.test_work_in_hand import COMMIT, as_returning, commands_received, units_added, wait_until

LOOKUP = ["CALL.GET", f"{77:016x}", "r1", "c=lookup,t=standard,d=1900,units=2"]
STAGES = ("add out", "sent", "answered")


async def reach_stage(deployment: Deployment, owner: Caller, call: list[str], stage: str) -> None:
    """Waits until the owner's request is at this stage and has been replicated."""
    if stage == "add out":
        deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.3))
    elif stage == "sent":
        deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
    owner.command(*call)
    if stage == "add out":
        await wait_until(lambda: units_added(deployment, 77) >= 2.0)
    elif stage == "sent":
        await wait_until(lambda: commands_received(deployment) == 1)
    else:
        assert await owner.answer() == b"done r1"
    await wait_until_replicated(deployment)


async def wait_until_replicated(deployment: Deployment) -> None:
    """Waits until another instance has a replica of the first one's request."""
    while not any([(await takeover_status(deployment.gateways[n]))["kept_for"] for n in (1, 2)]):
        await asyncio.sleep(0)


@pytest.mark.parametrize("call", [COMMIT, LOOKUP], ids=["once", "repeatable"])
@pytest.mark.parametrize("stopped", [0.2, 1.0])
@pytest.mark.parametrize("stage", STAGES)
def test_an_owner_that_is_paused_and_resumes(
    tmp_path: Path, stage: str, stopped: float, call: list[str]
) -> None:
    """Whatever the client and a returning one are answered, an effect runs once and units are taken once."""

    async def scenario() -> None:
        async with wired_fleet(tmp_path) as (deployment, _):
            await wait_until_ready(deployment)
            owner, other, third = [await Caller.to(gateway) for gateway in deployment.gateways]
            await reach_stage(deployment, owner, call, stage)
            process = deployment.gateways[0].process
            process.send_signal(signal.SIGSTOP)
            other.command(*as_returning(call))
            await asyncio.sleep(stopped)
            process.send_signal(signal.SIGCONT)
            answers = [await other.answer()] + ([] if stage == "answered" else [await owner.answer()])
            third.command(*as_returning(call))
            answers.append(await third.answer())
            if call is COMMIT:
                # Either one value or, if the lease expired after an acknowledged intent, unknown: never both.
                assert len({answer[:8] for answer in answers}) == 1, answers
                unknown = stage != "answered" and answers[0].startswith(b"-UNKNOWN")
                assert answers[0] == b"done r1" or unknown, answers
                assert commands_received(deployment) <= 1
            else:
                assert set(answers) == {b"done r1"}
                assert commands_received(deployment) <= 2
            await asyncio.sleep(0.4)
            assert units_added(deployment, 77) == 2.0

    run(scenario)


def test_an_owner_that_is_paused_for_ten_seconds_at_all_stages_at_once(tmp_path: Path) -> None:
    """The owner is paused for longer than any client waits.

    Effects run once, units are taken once, and no two values differ.
    """

    async def scenario() -> None:
        async with wired_fleet(tmp_path) as (deployment, _):
            await wait_until_ready(deployment)
            calls = [
                [call[0], f"{200 + number:016x}", f"{stage.replace(' ', '-')}-{call[0][5:]}", *call[3:]]
                for number, (stage, call) in enumerate((s, c) for s in STAGES for c in (COMMIT, LOOKUP))
            ]
            counting, sent, answered = calls[:2], calls[2:4], calls[4:]
            gateway, customers = deployment.gateways[0], range(200, 206)
            owners = {call[2]: await Caller.to(gateway) for call in calls}
            for call in answered:
                owners[call[2]].command(*call)
                assert await owners[call[2]].answer() == b"done " + call[2].encode()
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            for call in sent:
                owners[call[2]].command(*call)
            await wait_until(lambda: commands_received(deployment) == 4)
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.3))
            for call in counting:
                owners[call[2]].command(*call)
            await wait_until(lambda: all(units_added(deployment, customer) for customer in customers))
            while (
                sum(
                    [(await takeover_status(deployment.gateways[n]))["kept_for"].get("g0", 0) for n in (1, 2)]
                )
                < 6
            ):
                await asyncio.sleep(0)
            gateway.process.send_signal(signal.SIGSTOP)
            stopped = asyncio.get_running_loop().time()
            others = {call[2]: await Caller.to(deployment.gateways[1]) for call in calls}
            for call in calls:
                others[call[2]].command(*as_returning(call))
            answers = {request_id: await caller.answer() for request_id, caller in others.items()}
            unknown = sent[0][2]
            assert answers.pop(unknown).startswith(b"-UNKNOWN")
            assert answers == {request_id: b"done " + request_id.encode() for request_id in answers}
            await asyncio.sleep(10.0 - (asyncio.get_running_loop().time() - stopped))
            gateway.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            for call in counting + sent:
                late = await owners[call[2]].answer()
                if call[0] == COMMIT[0]:  # no client may learn that an effect did not run although it has
                    assert late.startswith((b"-UNKNOWN", b"-ERR", answers.get(call[2], b"-UNKNOWN"))), late
            # Four before; then the lookup that was sent, and the two requests that were not.
            assert commands_received(deployment) == 7
            assert [units_added(deployment, customer) for customer in customers] == [2.0] * 6

    run(scenario)


def test_an_owner_that_is_killed_between_its_intent_and_its_first_byte(tmp_path: Path) -> None:
    """The request was not sent, but nobody else can know that.

    It is reported as unknown and run by nobody, and its units are counted once.
    """

    async def scenario() -> None:
        async with wired_fleet(tmp_path) as (deployment, _):
            await wait_until_ready(deployment)
            for keeper in ("g1", "g2"):  # its acknowledgement of the intent is late
                deployment.wire_faults.on(Fault(Kind.SLOW, target=f"{keeper}>g0", delay=0.09))
            owner, other, third = [await Caller.to(gateway) for gateway in deployment.gateways]
            owner.command(*COMMIT)
            while not any(row["stage"] == "about to be sent" for row in await open_requests(deployment, 0)):
                await asyncio.sleep(0)
            await asyncio.sleep(0.02)  # the intent itself is in transit
            deployment.gateways[0].process.kill()
            for caller in (other, third):
                caller.command(*as_returning(COMMIT))
                assert (await caller.answer()).startswith(b"-UNKNOWN")
            await asyncio.sleep(0.3)
            assert (commands_received(deployment), units_added(deployment, 77)) == (0, 2.0)

    run(scenario)


def test_with_links_slower_than_a_lease_there_is_one_run_and_one_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with wired_fleet(tmp_path) as (deployment, _):
            await wait_until_ready(deployment)
            deployment.wire_faults.on(Fault(Kind.SLOW, delay=0.25))
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            callers = [await Caller.to(gateway) for gateway in deployment.gateways]
            callers[0].command(*COMMIT)
            await asyncio.sleep(0.05)
            for caller in callers[1:]:
                caller.command(*as_returning(COMMIT))
            answers = [await caller.answer() for caller in callers]
            definite = {answer for answer in answers if not answer.startswith((b"-UNKNOWN", b"-BUSY"))}
            assert definite <= {b"done r1"}, answers
            await asyncio.sleep(0.5)
            assert commands_received(deployment) <= 1
            assert units_added(deployment, 77) in (0.0, 2.0)

    run(scenario)


@pytest.mark.parametrize("call", [COMMIT, LOOKUP], ids=["once", "repeatable"])
def test_counter_and_etcd_are_away_when_the_owner_is_killed(tmp_path: Path, call: list[str]) -> None:
    """No decision and no total can be read; a request that was at no box yet is resumed, once."""

    async def scenario() -> None:
        async with wired_fleet(tmp_path, lease=1_000) as (deployment, cluster):
            await wait_until_ready(deployment)
            deployment.counter_faults.on(Fault(Kind.SILENT))
            cluster.faults.on(Fault(Kind.QUORUM))
            callers = [await Caller.to(gateway) for gateway in deployment.gateways]
            callers[0].command(*call)
            await wait_until_replicated(deployment)
            deployment.gateways[0].process.kill()
            for caller in callers[1:]:
                caller.command(*as_returning(call))
            answers = [await caller.answer() for caller in callers[1:]]
            assert set(answers) == {b"done r1"}, answers
            assert commands_received(deployment) == 1

    run(scenario)

"""Keyed requests while live instances stall: one that is silent for 0.15 s may still hold the request."""

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

import pytest

from lynxreel.local.deployment import Gateway
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import run
from tests.test_http import Client, came, web
from tests.test_work_by_http import KEY, KEYED, kill_owner_during, outcome, with_bodies
from tests.test_work_in_hand import wait_until

MAX_STALL = 0.15  # seconds for which a live process may stall, by the takeover settings


async def stall(gateway: Gateway, after: float, duration: float) -> None:
    """Pauses the process once."""
    await asyncio.sleep(after)
    gateway.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration)
    gateway.process.send_signal(signal.SIGCONT)


async def repeat_key(others: list[Client], together: bool) -> list[Any]:
    """Returns the answers to the request under its key, from each of the others."""
    if together:
        return [
            outcome(answer) for answer in await asyncio.gather(*[one.ask(*KEYED, **KEY) for one in others])
        ]
    return [outcome(await other.ask(*KEYED, **KEY)) for other in others]


async def stall_the_others(folder: Path, seed: int, together: bool) -> None:
    """Kills the owner of a keyed request; the others stall, each once, while it is repeated."""
    rng = random.Random(f"{seed} {together}")
    async with web(folder, 3, takeover=True, told=with_bodies()) as deployment:
        others = await kill_owner_during(deployment, KEYED, **KEY)
        stalls = [
            asyncio.create_task(stall(one, rng.uniform(0, 0.05), rng.choice([0.05, 0.1, MAX_STALL])))
            for one in deployment.gateways[1:]
        ]
        rng.shuffle(others)
        await asyncio.sleep(rng.uniform(0, 0.05))
        answers = await repeat_key(others, together)
        await asyncio.gather(*stalls)
        assert len({(status, body) for status, body, _ in answers}) == 1, answers
        assert answers[0][0] == 200
        await asyncio.sleep(MAX_STALL)
        assert came(deployment) == 2  # once by each owner


@pytest.mark.parametrize("together", [False, True], ids=["in turn", "together"])
@pytest.mark.parametrize("seed", range(1, 7))
def test_a_key_of_a_killed_gateway_is_run_once_more_while_the_others_stall(
    tmp_path: Path, seed: int, together: bool
) -> None:
    """Prevents a third run: a stalled instance may hold the request."""
    run(lambda: stall_the_others(tmp_path, seed, together))


@pytest.mark.parametrize("together", [False, True], ids=["in turn", "together"])
def test_a_key_in_progress_at_a_live_gateway_is_waited_for(tmp_path: Path, together: bool) -> None:
    """Prevents a second run of a request that takes longer than instances wait for each other's response."""

    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, told=with_bodies()) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.4))
            clients = [await Client.to(gateway) for gateway in deployment.gateways]
            clients[0].send(*KEYED, **KEY)
            await wait_until(lambda: came(deployment) == 1)
            answers = await repeat_key(clients[1:], together)
            assert {status for status, _, _ in answers} == {200}
            assert outcome(await clients[0].answer())[:2] == answers[0][:2]
            assert came(deployment) == 1

    run(scenario)

"""Keyed requests while instances that live are held up: a silence of 0.15 s says nothing of who has one."""

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

import pytest

from lynxreel.local.deployment import Gateway
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import run
from tests.test_http import Client, requests_at_boxes, web
from tests.test_work_by_http import KEY, KEYED, killed_under, told, with_bodies
from tests.test_work_in_hand import until

HOLD_UP = 0.15  # seconds for which a process that lives may stand still, by the terms


async def held_up(gateway: Gateway, after: float, span: float) -> None:
    """The process stands still once."""
    await asyncio.sleep(after)
    gateway.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(span)
    gateway.process.send_signal(signal.SIGCONT)


async def repeated(others: list[Client], together: bool) -> list[Any]:
    """The answers to the request under its key, from each of the others."""
    if together:
        return [told(answer) for answer in await asyncio.gather(*[one.ask(*KEYED, **KEY) for one in others])]
    return [told(await other.ask(*KEYED, **KEY)) for other in others]


async def hold_up_the_others(folder: Path, seed: int, together: bool) -> None:
    """The owner of a keyed request is killed; the others stand still, each once, while it is repeated."""
    chance = random.Random(f"{seed} {together}")
    async with web(folder, 3, takeover=True, document=with_bodies()) as deployment:
        others = await killed_under(deployment, KEYED, **KEY)
        stalls = [
            asyncio.create_task(held_up(one, chance.uniform(0, 0.05), chance.choice([0.05, 0.1, HOLD_UP])))
            for one in deployment.gateways[1:]
        ]
        chance.shuffle(others)
        await asyncio.sleep(chance.uniform(0, 0.05))
        answers = await repeated(others, together)
        await asyncio.gather(*stalls)
        assert len({(status, body) for status, body, _ in answers}) == 1, answers
        assert answers[0][0] == 200
        await asyncio.sleep(HOLD_UP)
        assert requests_at_boxes(deployment) == 2  # once by each owner


@pytest.mark.parametrize("together", [False, True], ids=["in turn", "together"])
@pytest.mark.parametrize("seed", range(1, 7))
def test_a_key_of_a_killed_gateway_is_run_once_more_while_the_others_are_held_up(
    tmp_path: Path, seed: int, together: bool
) -> None:
    """Guards against a third run: an instance that was held up is no instance that has nothing."""
    run(lambda: hold_up_the_others(tmp_path, seed, together))


@pytest.mark.parametrize("together", [False, True], ids=["in turn", "together"])
def test_a_key_under_way_at_a_gateway_that_lives_is_waited_for(tmp_path: Path, together: bool) -> None:
    """Guards against a second run of what takes longer than instances wait for each other's word."""

    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, document=with_bodies()) as deployment:
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.4))
            clients = [await Client.to(gateway) for gateway in deployment.gateways]
            clients[0].send(*KEYED, **KEY)
            await until(lambda: requests_at_boxes(deployment) == 1)
            answers = await repeated(clients[1:], together)
            assert {status for status, _, _ in answers} == {200}
            assert told(await clients[0].answer())[:2] == answers[0][:2]
            assert requests_at_boxes(deployment) == 1

    run(scenario)

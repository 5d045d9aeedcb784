"""Takeover with HTTP clients and HTTP boxes: gateways are killed or paused, and requests are sent anew."""

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from lynxreel.protocol.exchange import Exchange, pack, unpack
from lynxreel.standins.box import Resp2Link
from lynxreel.standins.faults import Fault, Kind
from lynxreel.standins.http_box import HttpLink
from tests.fleet import Caller, run
from tests.test_http import Answer, Client, came, description, web
from tests.test_http_boxes import by_http
from tests.test_work_in_hand import wait_until

GET = ("GET", "/v1/numbers/1", b"")
POST = ("POST", "/v1/ports", b'{"from": "x"}')
KEYED = ("POST", "/v1/keyed", b'{"from": "x"}')
OTHER = ("POST", "/v1/keyed", b'{"from": "y"}')
NAMED: dict[str, Any] = {"Lynxreel_Request": "r1"}
BACK: dict[str, Any] = {**NAMED, "Lynxreel_Back": "1"}
KEY: dict[str, Any] = {"Idempotency_Key": "one"}
REPLAYED = "idempotency-replayed"


def with_bodies() -> dict[str, Any]:
    """Returns an API description where the body of a request under a key is significant."""
    document = description()
    document["paths"]["/keyed"]["post"]["requestBody"] = document["paths"]["/ports"]["post"]["requestBody"]
    return document


def boxes(spoken: str) -> dict[str, Any]:
    """Returns the arguments of a deployment whose boxes speak this protocol."""
    return {"told": by_http(), "link": HttpLink} if spoken == "http" else {"link": Resp2Link}


async def kill_owner_during(deployment: Any, request: tuple[str, str, bytes], **headers: Any) -> list[Client]:
    """Kills the first gateway while a box works on a request; returns connections to the others."""
    deployment.box_faults.on(Fault(Kind.SLOW, delay=0.4))
    owner, *others = [await Client.to(gateway) for gateway in deployment.gateways]
    owner.send(*request, **headers)
    await wait_until(lambda: came(deployment) == 1)
    await asyncio.sleep(0.02)
    deployment.gateways[0].process.kill()
    assert await owner.reader.read() == b""
    deployment.box_faults.off()
    return others


@pytest.mark.parametrize("spoken", ["resp2", "http"])
def test_a_lookup_of_a_killed_gateway_is_served_by_another(tmp_path: Path, spoken: str) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, **boxes(spoken)) as deployment:
            others = await kill_owner_during(deployment, GET, **NAMED)
            answers = [await other.ask(*GET, **BACK) for other in others]
            assert {answer.status for answer in answers} == {201 if spoken == "http" else 200}
            assert answers[0].body == answers[1].body and b"r1" in answers[0].body
            assert answers[0].headers.get("x-box") == answers[1].headers.get("x-box")
            assert came(deployment) == 2  # once by each owner

    run(scenario)


@pytest.mark.parametrize("spoken", ["resp2", "http"])
def test_an_effect_that_may_have_run_is_reported_as_unknown(tmp_path: Path, spoken: str) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, **boxes(spoken)) as deployment:
            others = await kill_owner_during(deployment, POST, **NAMED)
            for other in others:
                answer = await other.ask(*POST, **BACK)
                assert (answer.status, answer.problem["title"]) == (500, "Outcome unknown")
            await asyncio.sleep(0.5)
            assert came(deployment) == 1

    run(scenario)


@pytest.mark.parametrize("spoken", ["resp2", "http"])
def test_an_effect_that_was_not_sent_is_resumed_once(tmp_path: Path, spoken: str) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, **boxes(spoken)) as deployment:
            deployment.counter_faults.on(Fault(Kind.SLOW, delay=0.4))
            owner, *others = [await Client.to(gateway) for gateway in deployment.gateways]
            owner.send(*POST, **NAMED)
            await wait_until(lambda: deployment.counter.calls > 0)
            await asyncio.sleep(0.05)
            deployment.gateways[0].process.kill()
            for other in others:
                other.send(*POST, **BACK)
            answers = [await other.answer() for other in others]
            assert {answer.status for answer in answers} == {201 if spoken == "http" else 200}
            assert came(deployment) == 1

    run(scenario)


def outcome(answer: Answer) -> tuple[int, bytes, str]:
    return answer.status, answer.body, answer.headers.get(REPLAYED, "")


def test_a_key_that_was_used_at_a_killed_gateway_is_known_to_the_others(tmp_path: Path) -> None:
    """The key alone is enough, as ordinary clients repeat requests; another request under it is rejected."""

    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, told=with_bodies()) as deployment:
            first, second = await kill_owner_during(deployment, KEYED, **KEY)
            answer = await first.ask(*KEYED, **KEY)
            assert (answer.status, answer.headers[REPLAYED]) == (200, "true")
            assert outcome(await second.ask(*KEYED, **KEY)) == outcome(answer)
            assert came(deployment) == 2  # once by each owner, under one id
            assert (await second.ask(*OTHER, **KEY)).status == 422

    run(scenario)


def test_a_key_is_run_once_across_live_instances(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, told=with_bodies()) as deployment:
            clients = [await Client.to(gateway) for gateway in deployment.gateways]
            answers = [outcome(await client.ask(*KEYED, **KEY)) for client in clients]
            status, body, _ = answers[0]
            assert answers == [(status, body, ""), *[(status, body, "true")] * 2]
            fresh = await Client.to(deployment.gateways[1])
            assert (await fresh.ask(*OTHER, **KEY)).status == 422  # from what this instance has kept itself
            assert came(deployment) == 1
            clients[1].send(*KEYED, key="k1", **KEY)  # the same key of another customer is a different key
            assert outcome(await clients[1].answer())[2] == ""
            assert came(deployment) == 2

    run(scenario)


def test_another_request_under_a_key_of_another_instance_is_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, told=with_bodies()) as deployment:
            clients = [await Client.to(gateway) for gateway in deployment.gateways]
            assert (await clients[0].ask(*KEYED, **KEY)).status == 200
            assert [(await client.ask(*OTHER, **KEY)).status for client in clients] == [422] * 3
            assert came(deployment) == 1

    run(scenario)


def test_a_new_key_is_not_delayed_by_silent_instances(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True, told=with_bodies()) as deployment:
            client = await Client.to(deployment.gateways[0])
            assert (await client.ask(*GET)).status == 200
            for gateway in deployment.gateways[1:]:
                gateway.process.send_signal(signal.SIGSTOP)
            for number in range(6):
                answer = await client.ask(*KEYED, Idempotency_Key=f"n{number}", Prefer="wait=1")
                assert answer.status == 200
            assert came(deployment) == 7

    run(scenario)


def test_a_client_may_return_through_the_other_front(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 3, takeover=True) as deployment:
            await kill_owner_during(deployment, GET, **NAMED)
            caller = await Caller.to(deployment.gateways[1])
            caller.command("CALL.GET", f"{7:016x}", "r1", "c=lookup,t=standard,d=1500,units=1,back=1")
            assert await caller.answer() == b"done r1"

    run(scenario)


def test_without_takeover_a_returning_client_is_rejected_and_nothing_runs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with web(tmp_path) as deployment:
            client = await Client.to(deployment.gateways[0])
            assert (await client.ask(*POST, **BACK)).status == 400
            assert came(deployment) == 0
            assert (await client.ask(*POST, **NAMED)).status == 200  # the name alone has no effect

    run(scenario)


@pytest.mark.parametrize(
    "headers",
    [{"Lynxreel_Back": "2"}, {"Lynxreel_Request": "a b"}, {"Lynxreel_Request": "x" * 65}],
)
def test_invalid_request_names_are_rejected(tmp_path: Path, headers: dict[str, Any]) -> None:
    async def scenario() -> None:
        async with web(tmp_path, 2, takeover=True) as deployment:
            client = await Client.to(deployment.gateways[0])
            assert (await client.ask(*GET, **headers)).status == 400
            assert came(deployment) == 0

    run(scenario)


def test_a_new_owner_sends_the_same_exchange_except_for_the_time_left() -> None:
    fields = (("Accept", "a, \xe9"), ("Lynxreel-Wait-Ms", "700"), ("Accept", "again"))
    request = Exchange("PUT", "/a?b=%20", fields, b"\0\xffbody", "host", frozenset({503, 429}), True)
    found = unpack(pack(request), 250_000)
    assert found.headers[1] == ("Lynxreel-Wait-Ms", "250")
    assert unpack(pack(found), 700_000) == request

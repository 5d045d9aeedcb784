"""Tests of watches on discovery over loopback sockets: what is accepted, how they resume and time out."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from lynxreel.sources import platform
from lynxreel.protocol.address import Address
from lynxreel.sources import freshness
from lynxreel.sources.freshness import WatchPolicy
from lynxreel.sources.platform import Discovery
from mothgap.interface import ListKind, Member, Members, State
from tests.net import LOCAL, NAMES, ScriptedServer, run

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
Changes = asyncio.Queue[tuple[Members, list[tuple[Member, Address]]]]


def line(generation: int, reset: bool = False, **fields: Any) -> bytes:
    entry = {
        "instanceId": "s-1", "hostPort": "127.0.0.1:81", "zone": "room", "machineType": "box", "cell": 3,
        "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 5,
    }  # fmt: skip
    text = {"generation": generation, "reset": reset, "instances": [entry | fields]}
    return json.dumps(text).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


AGENT, SERVICE = WatchPolicy(agent=True, fleet_size=230), WatchPolicy(agent=False)


def run_scenario(
    scenario: Callable[[ScriptedServer, Changes, Discovery], Awaitable[None]], terms: WatchPolicy = SERVICE
) -> None:
    async def start() -> None:
        changes: Changes = asyncio.Queue()
        async with ScriptedServer() as peer:
            loop = asyncio.get_running_loop()
            address, rng = (LOCAL, peer.port), random.Random(7)
            discovery = Discovery(
                address, 41, NAMES, lambda *news: changes.put_nowait(news), loop, terms, rng
            )
            await scenario(peer, changes, discovery)
            discovery.close()

    run(start)


def test_changes_are_read_from_lines_however_they_are_split() -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        data = await peer.answer(HEAD)
        assert data.startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\nHost: ")
        text = b"\n" + line(42) + b"\n" + line(43, lifecycle="DRAINING")
        for part in (text[:50], text[50:]):
            peer.writers[0].write(chunk(part))
        members, entries = await changes.get()
        member = Member("s-1", State.READY, kind=1, zone=0, cell=3, started_at=5_000, weight=1.0)
        assert members == Members(ListKind.CHANGES, 42, (member,))
        assert entries == [(member, (LOCAL, 81))]
        assert (await changes.get())[0].members[0].state is State.DRAINING

    run_scenario(scenario)


def test_a_watch_that_ends_is_resumed_from_its_version_and_a_reset_replaces_the_list() -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await changes.get()
        peer.writers[0].transport.abort()
        assert (await peer.receive())[1] == b""
        assert b"from=77 " in await peer.answer(HEAD + chunk(line(90, reset=True)))
        assert (await changes.get())[0].kind is ListKind.FULL

    run_scenario(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        b"what is this\r\n\r\n",
        b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"zz\r\n",
        HEAD + chunk(b"{nope\n"),
        HEAD + chunk(b"[]\n"),
        HEAD + chunk(b"{}\n"),
        HEAD + b"0\r\n\r\n",
    ],
)
def test_after_an_invalid_response_another_watch_is_opened(reply: bytes) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(reply)
        while (heard := (await peer.receive())[1]) == b"":
            pass
        assert b"from=41 " in heard
        assert changes.empty()

    run_scenario(scenario)


# Guards against requests to a slow agent that are all given up before their answers come (review/8).
def test_a_request_to_an_agent_goes_on_waiting_while_others_are_made_beside_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        requests = [await peer.receive() for _ in range(8)]  # an end of one of them would come between
        assert all(b"from=41 " in data for _, data in requests)
        peer.writers[0].write(HEAD)
        assert b"from=41 " in (await peer.receive())[1]  # the head alone is no answer
        peer.writers[0].write(chunk(line(42, lifecycle="DRAINING")))
        assert (await changes.get())[0].members[0].state is State.DRAINING
        peer.writers[0].write(chunk(line(43)))
        assert (await changes.get())[0].version == 43

    monkeypatch.setattr(freshness, "AGENT_RETRY_INTERVAL", 0.02)
    run_scenario(scenario, AGENT)


def test_a_silent_watch_stays_open_until_another_receives_a_line(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(42)))
        await changes.get()
        assert b"from=42 " in (await peer.receive())[1]  # the first has been silent for too long
        peer.writers[0].write(chunk(line(43, lifecycle="DRAINING")))
        assert (await changes.get())[0].members[0].state is State.DRAINING
        peer.writers[1].write(HEAD + chunk(b"\n"))
        assert (await peer.receive())[1] == b""  # the first watch is closed now

    assert freshness.SILENCE_TIMEOUT > 2.0  # seconds between two heartbeats
    monkeypatch.setattr(freshness, "SILENCE_TIMEOUT", 0.05)
    run_scenario(scenario, AGENT)


@pytest.mark.parametrize(
    "fields",
    [
        {"lifecycle": "ODD"},
        {"lifecycle": []},
        {"hostPort": "here"},
        {"hostPort": "h:99999"},
        {"weight": "x"},
        {"weight": float("nan")},
        {"cell": None},
        {"machineType": []},
        {"startedAtMs": float("inf")},
    ],
)
def test_an_entry_that_cannot_be_read_is_left_out_and_logged(
    fields: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Otherwise the watch would end at that line, also each time it resumes from the version before it.
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        text = json.loads(line(44))
        text["instances"] += [text["instances"][0] | {"instanceId": "s-2"} | fields, 3]
        await peer.answer(HEAD + chunk(json.dumps(text).encode() + b"\n") + chunk(line(45)))
        for _ in range(2):
            assert [member.server for member in (await changes.get())[0].members] == ["s-1"]
        assert discovery.version == 45

    logged: list[str] = []  # patched, as the log on standard error is rate-limited
    monkeypatch.setattr(platform, "log", logged.append)
    run_scenario(scenario)
    assert ["can't be read" in text for text in logged] == [True, True]


async def open_second_watch(peer: ScriptedServer) -> None:
    """Wait until the first watch has received version 42 and is silent, and another is open beside it."""
    await peer.answer(HEAD + chunk(line(42)))
    while len(peer.writers) < 2:
        await peer.receive()


def test_changes_that_another_watch_has_received_are_not_reported_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await open_second_watch(peer)
        peer.writers[0].write(chunk(line(43, lifecycle="DRAINING")) + chunk(line(44)))
        assert [(await changes.get())[0].version for _ in range(3)] == [42, 43, 44]
        # The second watch resumes from 42: there the drain arrives late, after it has been taken back.
        peer.writers[1].write(HEAD + chunk(line(43, lifecycle="DRAINING")) + chunk(line(45)))
        assert (await changes.get())[0].version == 45

    monkeypatch.setattr(freshness, "SILENCE_TIMEOUT", 0.05)
    run_scenario(scenario, AGENT)


def test_after_version_numbers_restart_the_list_is_requested_from_version_0(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)) + chunk(line(3, lifecycle="DRAINING")))
        while (heard := (await peer.receive())[1]) == b"":
            pass
        assert b"from=0 " in heard
        peer.writers[-1].write(HEAD + chunk(line(3, lifecycle="DRAINING")))
        assert [(await changes.get())[0].version for _ in range(2)] == [77, 3]
        assert discovery.version == 3

    run_scenario(scenario, AGENT)


def test_after_version_numbers_restart_on_an_old_watch_the_list_is_requested_from_version_0(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await open_second_watch(peer)
        peer.writers[0].write(chunk(line(3)))
        while (await peer.receive())[1]:  # until the first watch is closed
            pass
        peer.writers[1].write(HEAD + chunk(line(44)))
        assert [(await changes.get())[0].version for _ in range(2)] == [42, 44]
        peer.writers[1].close()
        while b"from=0 " not in (await peer.receive())[1]:
            pass

    monkeypatch.setattr(freshness, "SILENCE_TIMEOUT", 0.05)
    run_scenario(scenario, AGENT)


def test_a_full_list_older_than_what_another_watch_has_received_is_requested_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await open_second_watch(peer)
        peer.writers[0].write(chunk(line(43, lifecycle="DRAINING")))
        assert [(await changes.get())[0].version for _ in range(2)] == [42, 43]
        peer.writers[1].write(HEAD + chunk(line(42, reset=True)))  # does not contain the drain
        while b"from=43 " not in (await peer.receive())[1]:
            pass
        assert changes.empty()
        peer.writers[-1].write(HEAD + chunk(line(43, reset=True, lifecycle="DRAINING")))
        assert (await changes.get())[0].kind is ListKind.FULL

    monkeypatch.setattr(freshness, "SILENCE_TIMEOUT", 0.05)
    run_scenario(scenario, AGENT)


def test_a_new_address_is_called_at_once_though_a_request_to_the_old_one_is_pending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await open_second_watch(peer)
        async with ScriptedServer() as other:
            discovery.set_address((LOCAL, other.port))
            assert b"from=42 " in await asyncio.wait_for(other.answer(HEAD + chunk(line(43))), 2)
            versions = [(await changes.get())[0].version for _ in range(2)]
            assert versions == [42, 43]
            discovery.close()

    monkeypatch.setattr(freshness, "SILENCE_TIMEOUT", 0.05)
    monkeypatch.setattr(freshness, "RECONNECT_SPREAD", 0.0)
    run_scenario(scenario)  # a service: a request may wait for 5 s there


def test_an_agent_that_sends_only_a_response_head_gets_a_second_request() -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(HEAD)
        assert b"from=41 " in (await peer.receive())[1]  # and not the end of the first watch
        peer.writers[0].write(chunk(line(42)))
        assert (await changes.get())[0].version == 42

    run_scenario(scenario, AGENT)


def test_a_list_may_be_indented_split_anywhere_and_longer_than_one_read() -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        entries = json.loads(line(42))["instances"] * 1_024
        whole = {"generation": 50, "reset": True, "instances": entries}
        text = json.dumps(whole, indent=3).replace("\n", "\r\n").encode()
        assert len(text) > 3 * (1 << 16)
        await peer.answer(HEAD + chunk(text[:7]))
        for at in range(7, len(text), 4_001):
            peer.writers[0].write(chunk(text[at : at + 4_001]))
        members, _ = await changes.get()
        assert (members.kind, members.version, len(members.members)) == (ListKind.FULL, 50, 1_024)

    run_scenario(scenario)


def test_a_deleted_box_needs_no_address() -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(44, lifecycle="DELETED", hostPort="")))
        assert (await changes.get())[0].members[0].state is State.GONE

    run_scenario(scenario)


def test_a_new_address_is_watched_from_the_known_version() -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await changes.get()
        async with ScriptedServer() as other:
            discovery.set_address((LOCAL, other.port))
            discovery.set_address((LOCAL, other.port))
            assert b"from=77 " in await other.answer(HEAD + chunk(line(78)))
            assert (await changes.get())[0].version == 78
            assert (await peer.receive())[1] == b""
            assert len(other.writers) == 1
            discovery.close()

    run_scenario(scenario)


def test_the_old_watch_is_used_until_the_new_address_answers() -> None:
    async def scenario(peer: ScriptedServer, changes: Changes, discovery: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await changes.get()
        discovery.set_address((LOCAL, 1))  # connection refused
        peer.writers[0].write(chunk(line(78)))
        assert (await changes.get())[0].version == 78
        discovery.set_address((LOCAL, peer.port))
        assert b"from=78 " in await peer.answer(HEAD)

    run_scenario(scenario)

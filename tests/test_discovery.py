"""The watch on a loopback socket: what is taken, how it resumes, and when it is dead."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from lynxreel.sources import platform as module
from lynxreel.protocol.address import Address
from lynxreel.sources import freshness
from lynxreel.sources.freshness import Terms
from lynxreel.sources.platform import Discovery
from mothgap.interface import ListKind, Member, Members, State
from tests.net import LOCAL, NAMES, ScriptedServer, run

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
Told = asyncio.Queue[tuple[Members, list[tuple[Member, Address]]]]


def line(generation: int, reset: bool = False, **fields: Any) -> bytes:
    entry = {
        "instanceId": "s-1", "hostPort": "127.0.0.1:81", "zone": "room", "machineType": "box", "cell": 3,
        "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 5,
    }  # fmt: skip
    text = {"generation": generation, "reset": reset, "instances": [entry | fields]}
    return json.dumps(text).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


AGENT, SERVICE = Terms(agent=True, fleet=230), Terms(agent=False)


def play(
    scenario: Callable[[ScriptedServer, Told, Discovery], Awaitable[None]], terms: Terms = SERVICE
) -> None:
    async def start() -> None:
        told: Told = asyncio.Queue()
        async with ScriptedServer() as peer:
            loop = asyncio.get_running_loop()
            place, chance = (LOCAL, peer.port), random.Random(7)
            watch = Discovery(place, 41, NAMES, lambda *news: told.put_nowait(news), loop, terms, chance)
            await scenario(peer, told, watch)
            watch.close()

    run(start)


def test_news_comes_in_lines_however_they_are_cut() -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        data = await peer.answer(HEAD)
        assert data.startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\nHost: ")
        text = b"\n" + line(42) + b"\n" + line(43, lifecycle="DRAINING")
        for part in (text[:50], text[50:]):
            peer.writers[0].write(chunk(part))
        members, lines = await told.get()
        member = Member("s-1", State.READY, kind=1, zone=0, cell=3, started_at=5_000, weight=1.0)
        assert members == Members(ListKind.CHANGES, 42, (member,))
        assert lines == [(member, (LOCAL, 81))]
        assert (await told.get())[0].members[0].state is State.DRAINING

    play(scenario)


def test_a_watch_that_ends_is_resumed_from_where_it_was_and_a_reset_replaces_the_list() -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await told.get()
        peer.writers[0].transport.abort()
        assert (await peer.receive())[1] == b""
        assert b"from=77 " in await peer.answer(HEAD + chunk(line(90, reset=True)))
        assert (await told.get())[0].kind is ListKind.FULL

    play(scenario)


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
def test_what_is_no_watch_is_left_and_another_is_opened(reply: bytes) -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(reply)
        while (heard := (await peer.receive())[1]) == b"":
            pass
        assert b"from=41 " in heard
        assert told.empty()

    play(scenario)


def test_a_silent_watch_stays_open_until_another_tells_something(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(42)))
        await told.get()
        assert b"from=42 " in (await peer.receive())[1]  # beside it, as nothing has come for so long
        peer.writers[0].write(chunk(line(43, lifecycle="DRAINING")))
        assert (await told.get())[0].members[0].state is State.DRAINING
        peer.writers[1].write(HEAD + chunk(b"\n"))
        assert (await peer.receive())[1] == b""  # the first one is closed now

    assert freshness.QUIET > 2.0  # the time between two heartbeats
    monkeypatch.setattr(freshness, "QUIET", 0.05)
    play(scenario, AGENT)


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
def test_an_entry_that_cannot_be_read_is_left_out_and_told(
    fields: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards the list: the watch would end at that line, now and each time it resumes from the version before.
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        text = json.loads(line(44))
        text["instances"] += [text["instances"][0] | {"instanceId": "s-2"} | fields, 3]
        await peer.answer(HEAD + chunk(json.dumps(text).encode() + b"\n") + chunk(line(45)))
        for _ in range(2):
            assert [member.server for member in (await told.get())[0].members] == ["s-1"]
        assert watch.version == 45

    said: list[str] = []  # not from standard error, where only so many lines go in a second
    monkeypatch.setattr(module, "log", said.append)
    play(scenario)
    assert ["can't be read" in text for text in said] == [True, True]


async def beside(peer: ScriptedServer) -> None:
    """The first watch has told version 42 and is silent; another is open beside it."""
    await peer.answer(HEAD + chunk(line(42)))
    while len(peer.writers) < 2:
        await peer.receive()


def test_changes_that_another_watch_has_told_are_not_told_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await beside(peer)
        peer.writers[0].write(chunk(line(43, lifecycle="DRAINING")) + chunk(line(44)))
        assert [(await told.get())[0].version for _ in range(3)] == [42, 43, 44]
        # The other one goes on from 42: the drain, which has been taken back since, comes late there.
        peer.writers[1].write(HEAD + chunk(line(43, lifecycle="DRAINING")) + chunk(line(45)))
        assert (await told.get())[0].version == 45

    monkeypatch.setattr(freshness, "QUIET", 0.05)
    play(scenario, AGENT)


def test_a_service_that_counts_anew_is_asked_from_the_beginning(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)) + chunk(line(3, lifecycle="DRAINING")))
        while (heard := (await peer.receive())[1]) == b"":
            pass
        assert b"from=0 " in heard
        peer.writers[-1].write(HEAD + chunk(line(3, lifecycle="DRAINING")))
        assert [(await told.get())[0].version for _ in range(2)] == [77, 3]
        assert watch.version == 3

    play(scenario, AGENT)


def test_a_service_that_counts_anew_is_asked_from_the_beginning_though_an_old_watch_tells_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await beside(peer)
        peer.writers[0].write(chunk(line(3)))
        while (await peer.receive())[1]:  # the first watch has been left
            pass
        peer.writers[1].write(HEAD + chunk(line(44)))
        assert [(await told.get())[0].version for _ in range(2)] == [42, 44]
        peer.writers[1].close()
        while b"from=0 " not in (await peer.receive())[1]:
            pass

    monkeypatch.setattr(freshness, "QUIET", 0.05)
    play(scenario, AGENT)


def test_a_whole_list_that_is_older_than_what_another_watch_has_told_is_asked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await beside(peer)
        peer.writers[0].write(chunk(line(43, lifecycle="DRAINING")))
        assert [(await told.get())[0].version for _ in range(2)] == [42, 43]
        peer.writers[1].write(HEAD + chunk(line(42, reset=True)))  # the drain is not in it
        while b"from=43 " not in (await peer.receive())[1]:
            pass
        assert told.empty()
        peer.writers[-1].write(HEAD + chunk(line(43, reset=True, lifecycle="DRAINING")))
        assert (await told.get())[0].kind is ListKind.FULL

    monkeypatch.setattr(freshness, "QUIET", 0.05)
    play(scenario, AGENT)


def test_a_move_calls_the_new_place_at_once_though_a_call_to_the_old_one_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await beside(peer)
        async with ScriptedServer() as other:
            watch.move((LOCAL, other.port))
            assert b"from=42 " in await asyncio.wait_for(other.answer(HEAD + chunk(line(43))), 2)
            versions = [(await told.get())[0].version for _ in range(2)]
            assert versions == [42, 43]
            watch.close()

    monkeypatch.setattr(freshness, "QUIET", 0.05)
    monkeypatch.setattr(freshness, "SPREAD", 0.0)
    play(scenario)  # a service: a call may wait there for 5 s


def test_an_agent_that_answers_with_a_head_alone_is_called_again_beside_that() -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD)
        assert b"from=41 " in (await peer.receive())[1]  # and not the end of the first one
        peer.writers[0].write(chunk(line(42)))
        assert (await told.get())[0].version == 42

    play(scenario, AGENT)


def test_a_list_may_come_indented_and_be_cut_anywhere_and_be_longer_than_one_read() -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        entries = json.loads(line(42))["instances"] * 1_024
        whole = {"generation": 50, "reset": True, "instances": entries}
        text = json.dumps(whole, indent=3).replace("\n", "\r\n").encode()
        assert len(text) > 3 * (1 << 16)
        await peer.answer(HEAD + chunk(text[:7]))
        for at in range(7, len(text), 4_001):
            peer.writers[0].write(chunk(text[at : at + 4_001]))
        members, _ = await told.get()
        assert (members.kind, members.version, len(members.members)) == (ListKind.FULL, 50, 1_024)

    play(scenario)


def test_one_that_is_gone_needs_no_address() -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(44, lifecycle="DELETED", hostPort="")))
        assert (await told.get())[0].members[0].state is State.GONE

    play(scenario)


def test_a_move_watches_elsewhere_from_the_version_at_hand() -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await told.get()
        async with ScriptedServer() as other:
            watch.move((LOCAL, other.port))
            watch.move((LOCAL, other.port))
            assert b"from=77 " in await other.answer(HEAD + chunk(line(78)))
            assert (await told.get())[0].version == 78
            assert (await peer.receive())[1] == b""
            assert len(other.writers) == 1
            watch.close()

    play(scenario)


def test_until_the_new_address_answers_the_old_watch_tells_on() -> None:
    async def scenario(peer: ScriptedServer, told: Told, watch: Discovery) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await told.get()
        watch.move((LOCAL, 1))  # refused
        peer.writers[0].write(chunk(line(78)))
        assert (await told.get())[0].version == 78
        watch.move((LOCAL, peer.port))
        assert b"from=78 " in await peer.answer(HEAD)

    play(scenario)

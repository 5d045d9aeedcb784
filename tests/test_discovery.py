"""The watch on a loopback socket: what is taken, how it resumes, and when it is dead."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from lynxreel import discovery as module
from lynxreel.discovery import Address, Discovery
from mothgap.interface import ListKind, Member, Members, State
from tests.net import LOCAL, NAMES, Peer, run

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


def play(scenario: Callable[[Peer, Told, list[str]], Awaitable[None]]) -> None:
    async def start() -> None:
        told: Told = asyncio.Queue()
        log: list[str] = []
        async with Peer() as peer:
            loop = asyncio.get_running_loop()
            watch = Discovery(
                (LOCAL, peer.port), 41, NAMES, lambda *news: told.put_nowait(news), log.append, loop
            )
            await scenario(peer, told, log)
            watch.close()

    run(start)


def test_news_comes_in_lines_however_they_are_cut() -> None:
    async def scenario(peer: Peer, told: Told, log: list[str]) -> None:
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
        assert not log

    play(scenario)


def test_a_watch_that_ends_is_resumed_from_where_it_was_and_a_reset_replaces_the_list() -> None:
    async def scenario(peer: Peer, told: Told, log: list[str]) -> None:
        await peer.answer(HEAD + chunk(line(77)))
        await told.get()
        peer.writers[0].transport.abort()
        assert (await peer.hear())[1] == b""
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
        HEAD + chunk(line(44, lifecycle="ODD")),
        HEAD + chunk(line(44, hostPort="here")),
        HEAD + b"0\r\n\r\n",
    ],
)
def test_what_is_no_watch_is_left_and_another_is_opened(reply: bytes) -> None:
    async def scenario(peer: Peer, told: Told, log: list[str]) -> None:
        await peer.answer(reply)
        while (heard := (await peer.hear())[1]) == b"":
            pass
        assert b"from=41 " in heard
        assert told.empty()

    play(scenario)


def test_a_silent_watch_is_dead_and_heartbeats_keep_one_alive(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(peer: Peer, told: Told, log: list[str]) -> None:
        await peer.hear()
        assert (await peer.hear())[1] == b""  # closed from the other end
        assert b"from=41 " in await peer.answer(HEAD + chunk(b"\n"))

    assert module.SILENT > 2 * 2.0  # two heartbeats
    monkeypatch.setattr(module, "SILENT", 0.05)
    play(scenario)

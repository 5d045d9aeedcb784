"""Datagrams between gateways on loopback sockets: who is heard, and what is dropped."""

import asyncio
import json
import os
import socket
from dataclasses import replace
from typing import Any

import pytest

import lynxreel.__main__ as program
from lynxreel import node as module_of_node
from lynxreel.counters.bump import Counter
from lynxreel.engine.engine import Engine
from lynxreel.node import Deployment, Node, PeerPlan
from lynxreel.peers.datagrams import MOST, Peers
from lynxreel.protocol.address import Address
from mothgap.interface import ListKind, Member, Members, PeerMessage, Request, State, Tell
from mothgap.lending import Ask, read, write
from tests.gateways import Gateways
from tests.helpers import CUSTOMER, SECOND, SETTINGS
from tests.net import LOCAL, NAMES, ScriptedServer, run
from tests.test_lending import ASKED, LENT
from tests.test_process import NAMED, config


def free() -> tuple[Address, Address]:
    """Two addresses that nothing else has."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
    ):
        one.bind((HOST, 0))
        other.bind((HOST, 0))
        return one.getsockname(), other.getsockname()


HOST = f"127.92.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"  # where no other process takes ports


class Two:
    """Two gateways' endpoints that know each other, and what they hear."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.places = free()
        self.heard: tuple[asyncio.Queue[PeerMessage], ...] = (asyncio.Queue(), asyncio.Queue())
        self.ends = [Peers(self.places, n, self.heard[n].put_nowait, loop) for n in (0, 1)]

    async def __aenter__(self) -> "Two":
        for end, place in zip(self.ends, self.places, strict=True):
            await end.open(place)
        return self

    async def __aexit__(self, *_: object) -> None:
        for end in self.ends:
            end.close()


def test_beside_an_older_process_the_newer_one_hears_and_without_that_word_the_address_is_taken() -> None:
    async def scenario() -> None:
        loop, places = asyncio.get_running_loop(), free()
        heard: list[asyncio.Queue[PeerMessage]] = [asyncio.Queue() for _ in range(3)]
        other = Peers(places, 0, heard[0].put_nowait, loop)
        older, newer = (Peers(places, 1, queue.put_nowait, loop) for queue in heard[1:])
        await other.open(places[0])
        await older.open(places[1], beside=True)
        with pytest.raises(OSError):
            await newer.open(places[1])
        await newer.open(places[1], beside=True)
        other.tell(1, b"x")
        assert await heard[2].get() == PeerMessage(0, b"x")
        assert heard[1].empty()
        for end in (older, newer, other):
            end.close()

    run(scenario)


def test_what_one_says_the_other_hears_with_its_number() -> None:
    async def scenario() -> None:
        async with Two(asyncio.get_running_loop()) as two:
            two.ends[0].tell(1, b"one")
            assert await two.heard[1].get() == PeerMessage(0, b"one")
            two.ends[1].tell(None, b"all")
            assert await two.heard[0].get() == PeerMessage(1, b"all")
            assert two.heard[1].empty()  # not to itself

    run(scenario)


def test_strangers_and_what_is_too_long_are_dropped_and_counted() -> None:
    async def scenario() -> None:
        async with Two(asyncio.get_running_loop()) as two:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(b"let me in", two.places[1])
            sender = two.ends[0]._transport
            assert sender is not None
            sender.sendto(b"x" * (MOST + 1), two.places[1])
            two.ends[0].tell(1, b"after")
            assert await two.heard[1].get() == PeerMessage(0, b"after")
            assert two.heard[1].empty()
            assert two.ends[1].dropped == {"stranger": 1, "too long": 1, "too many": 0, "not sent": 0}

    run(scenario)


@pytest.mark.parametrize(("gateways", "most"), [(2, 200), (230, 1_150), (1_024, 5_120)])
def test_no_more_is_heard_in_a_second_than_a_fleet_says(
    gateways: int, most: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    heard: list[PeerMessage] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        peers = Peers([(LOCAL, n + 1) for n in range(gateways)], 0, heard.append, loop)
        monkeypatch.setattr(loop.__class__, "time", lambda _: 100.5)
        for _ in range(most + 5):
            peers.datagram_received(b"more", (LOCAL, 2))
        assert len(heard) == most
        assert peers.dropped["too many"] == 5
        monkeypatch.setattr(loop.__class__, "time", lambda _: 101.0)
        peers.datagram_received(b"more", (LOCAL, 2))
        assert len(heard) == most + 1

    asyncio.run(scenario())


def test_nothing_is_sent_to_who_is_not_on_the_list_nor_before_or_after_its_time() -> None:
    async def scenario() -> None:
        async with Two(asyncio.get_running_loop()) as two:
            end = two.ends[0]
            for number, data in ((2, b"x"), (-1, b"x"), (1, b"x" * (MOST + 1))):
                end.tell(number, data)
            assert end.dropped["not sent"] == 3
            end.close()
            end.tell(1, b"x")
            assert end.dropped["not sent"] == 4
            two.ends[1].tell(0, b"nobody")  # refused by the system, which is no error here
            await asyncio.sleep(0)

    run(scenario)


def test_a_start_waits_a_moment_for_the_counter_and_not_for_one_that_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a counter a start ends though the moment never would; with none it ends by itself."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, peers=False))
        async with ScriptedServer() as peer:
            for port, moment in ((peer.port, 1e6), (1, 0.05)):
                monkeypatch.setattr(module_of_node, "FIRST_NEWS", moment)
                known = (Members(ListKind.CACHED, 1, ()), list[tuple[Member, Address]]())
                deployment = Deployment(settings, NAMES, ((LOCAL, 0),), (LOCAL, 1), (LOCAL, port), 1024)
                node = Node(deployment, 1, known, loop)
                await node.start(0.0)
                assert isinstance(node.counter, Counter)
                assert node.counter.up.is_set() is (port == peer.port)
                assert node.lacks == "no servers"
                server = Member("s-1", State.READY)
                node._news(Members(ListKind.FULL, 2, (server,)), [(server, (LOCAL, 9))])
                assert node.lacks == ""
                node._news(Members(ListKind.FULL, 3, ()), [])
                assert node.lacks == "no servers"
                node.close()

    run(scenario)


def test_a_gateway_lends_over_sockets_what_another_asks_for() -> None:
    """A node with its whole wiring answers a question; the test plays the gateway that asks."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        places = free()
        settings = replace(LENT, fleet_size=2, index=1, counter=None)
        plan = PeerPlan(places[1], places)
        deployment = Deployment(settings, NAMES, ((HOST, 0),), (HOST, 1), None, 1024, peers=plan)
        node = Node(deployment, 1, (Members(ListKind.CACHED, 1, ()), []), loop)
        await node.start(0.0)
        heard: asyncio.Queue[PeerMessage] = asyncio.Queue()
        asker = Peers(places, 0, heard.put_nowait, loop)
        await asker.open(places[0])
        asker.tell(1, write(replace(ASKED, spread=2, number=9, units=0.001)))
        answer = read((await heard.get()).data)
        assert answer is not None and not isinstance(answer, Ask) and answer.number == 9
        asker.close()
        node.close()

    run(scenario)


def test_the_engine_passes_on_what_the_module_says() -> None:
    async def scenario() -> None:
        engine = Engine(LENT, 1, asyncio.get_running_loop())
        said: list[tuple[int | None, bytes]] = []

        class Mouth:
            def tell(self, to: int | None, data: bytes) -> None:
                said.append((to, data))

        engine._carry_out(Tell(3, b"before there is anyone"))
        engine.peers = Mouth()
        engine._carry_out(Tell(3, b"hello"))
        assert said == [(3, b"hello")]

    run(scenario)


@pytest.mark.parametrize("missing", ["peers", "peer_listen", "allowed"])
def test_a_gateway_with_nobody_to_talk_to_does_not_wait_for_answers(missing: str) -> None:
    given: dict[str, Any] = json.loads(json.dumps(config(1, 2, 3)))
    given["settings"] = {**NAMED, "limits": {**NAMED["limits"], "peers": missing != "allowed"}}
    given |= {"peers": ["127.0.0.1:7", "127.0.0.1:8"], "peer_listen": "127.0.0.1:7"}
    whole = program.read_deployment(given | {"settings": {**given["settings"], "limits": {
        **given["settings"]["limits"], "peers": True}}})  # fmt: skip
    assert whole.settings.limits.peers
    assert whole.peers == PeerPlan((LOCAL, 7), ((LOCAL, 7), (LOCAL, 8)))
    given.pop(missing, None)
    deployment = program.read_deployment(given)
    assert deployment.peers is None
    assert not deployment.settings.limits.peers


def test_without_messages_a_request_is_refused_at_once() -> None:
    fleet = Gateways(replace(LENT, limits=SETTINGS.limits), 1)
    request = Request(99, 0, 0, CUSTOMER, 2.0, 3 * SECOND, 12, 0)
    assert [type(a).__name__ for a in fleet.gateways[0].handle(fleet.now, request)] == ["Refuse"]

"""Datagrams between gateways on loopback sockets: which are received, and which are dropped."""

import asyncio
import json
import os
import socket
from dataclasses import replace
from typing import Any

import pytest

import lynxreel.__main__ as program
from lynxreel import node as node_module
from lynxreel.counters.bump import Counter
from lynxreel.engine.engine import Engine
from lynxreel.node import Deployment, Node, PeerPlan
from lynxreel.peers.datagrams import MAX_DATAGRAM, Peers
from lynxreel.protocol.address import Address
from mothgap.interface import ListKind, Member, Members, PeerMessage, Request, State, Tell
from mothgap.lending import LoanRequest, decode, encode
from tests.gateways import Gateways
from tests.helpers import CUSTOMER, SECOND, SETTINGS
from tests.net import LOCAL, NAMES, Peer, run
from tests.test_lending import ASKED, LENT
from tests.test_process import NAMED, config


def free() -> tuple[Address, Address]:
    """Two addresses that nothing else uses."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
    ):
        one.bind((HOST, 0))
        other.bind((HOST, 0))
        return one.getsockname(), other.getsockname()


# A loopback address that no other process binds.
HOST = f"127.92.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"


class PeerPair:
    """Two gateways' endpoints that list each other, and the messages they receive."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.addresses = free()
        self.received: tuple[asyncio.Queue[PeerMessage], ...] = (asyncio.Queue(), asyncio.Queue())
        self.endpoints = [Peers(self.addresses, n, self.received[n].put_nowait, loop) for n in (0, 1)]

    async def __aenter__(self) -> "PeerPair":
        for endpoint, address in zip(self.endpoints, self.addresses, strict=True):
            await endpoint.open(address)
        return self

    async def __aexit__(self, *_: object) -> None:
        for endpoint in self.endpoints:
            endpoint.close()


def test_with_reuse_the_newer_of_two_processes_receives_and_without_it_the_address_is_in_use() -> None:
    async def scenario() -> None:
        loop, addresses = asyncio.get_running_loop(), free()
        received: list[asyncio.Queue[PeerMessage]] = [asyncio.Queue() for _ in range(3)]
        other = Peers(addresses, 0, received[0].put_nowait, loop)
        older, newer = (Peers(addresses, 1, queue.put_nowait, loop) for queue in received[1:])
        await other.open(addresses[0])
        await older.open(addresses[1], reuse_address=True)
        with pytest.raises(OSError):
            await newer.open(addresses[1])
        await newer.open(addresses[1], reuse_address=True)
        other.tell(1, b"x")
        assert await received[2].get() == PeerMessage(0, b"x")
        assert received[1].empty()
        for endpoint in (older, newer, other):
            endpoint.close()

    run(scenario)


def test_messages_arrive_with_the_senders_number() -> None:
    async def scenario() -> None:
        async with PeerPair(asyncio.get_running_loop()) as pair:
            pair.endpoints[0].tell(1, b"one")
            assert await pair.received[1].get() == PeerMessage(0, b"one")
            pair.endpoints[1].tell(None, b"all")
            assert await pair.received[0].get() == PeerMessage(1, b"all")
            assert pair.received[1].empty()  # not sent to itself

    run(scenario)


def test_datagrams_of_unlisted_senders_and_oversized_ones_are_dropped_and_counted() -> None:
    async def scenario() -> None:
        async with PeerPair(asyncio.get_running_loop()) as pair:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(b"let me in", pair.addresses[1])
            sender = pair.endpoints[0]._transport
            assert sender is not None
            sender.sendto(b"x" * (MAX_DATAGRAM + 1), pair.addresses[1])
            pair.endpoints[0].tell(1, b"after")
            assert await pair.received[1].get() == PeerMessage(0, b"after")
            assert pair.received[1].empty()
            assert pair.endpoints[1].dropped == {"stranger": 1, "too long": 1, "too many": 0, "not sent": 0}

    run(scenario)


@pytest.mark.parametrize(("gateways", "limit"), [(2, 200), (230, 1_150), (1_024, 5_120)])
def test_datagrams_above_the_receive_limit_are_dropped(
    gateways: int, limit: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    received: list[PeerMessage] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        peers = Peers([(LOCAL, n + 1) for n in range(gateways)], 0, received.append, loop)
        monkeypatch.setattr(loop.__class__, "time", lambda _: 100.5)
        for _ in range(limit + 5):
            peers.datagram_received(b"more", (LOCAL, 2))
        assert len(received) == limit
        assert peers.dropped["too many"] == 5
        monkeypatch.setattr(loop.__class__, "time", lambda _: 101.0)
        peers.datagram_received(b"more", (LOCAL, 2))
        assert len(received) == limit + 1

    asyncio.run(scenario())


def test_messages_to_unlisted_gateways_oversized_ones_and_those_after_close_are_not_sent() -> None:
    async def scenario() -> None:
        async with PeerPair(asyncio.get_running_loop()) as pair:
            endpoint = pair.endpoints[0]
            for number, data in ((2, b"x"), (-1, b"x"), (1, b"x" * (MAX_DATAGRAM + 1))):
                endpoint.tell(number, data)
            assert endpoint.dropped["not sent"] == 3
            endpoint.close()
            endpoint.tell(1, b"x")
            assert endpoint.dropped["not sent"] == 4
            pair.endpoints[1].tell(0, b"nobody")  # refused by the system, which must not raise here
            await asyncio.sleep(0)

    run(scenario)


def test_a_start_waits_for_the_counter_but_not_for_one_that_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a counter, the start ends long before the 1e6 s of patience; without one, after 0.05 s."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, peers=False))
        async with Peer() as peer:
            for port, patience in ((peer.port, 1e6), (1, 0.05)):
                monkeypatch.setattr(node_module, "FIRST_NEWS", patience)
                known = (Members(ListKind.CACHED, 1, ()), list[tuple[Member, Address]]())
                deployment = Deployment(settings, NAMES, ((LOCAL, 0),), (LOCAL, 1), (LOCAL, port), 1024)
                node = Node(deployment, 1, known, loop)
                await node.start(0.0)
                assert isinstance(node.counter, Counter)
                assert node.counter.connected.is_set() is (port == peer.port)
                assert node.lacks == "no servers"
                server = Member("s-1", State.READY)
                node._news(Members(ListKind.FULL, 2, (server,)), [(server, (LOCAL, 9))])
                assert node.lacks == ""
                node._news(Members(ListKind.FULL, 3, ()), [])
                assert node.lacks == "no servers"
                node.close()

    run(scenario)


def test_a_gateway_lends_units_over_sockets_on_request() -> None:
    """A complete node answers a loan request; the test plays the gateway that sends it."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        addresses = free()
        settings = replace(LENT, fleet_size=2, index=1, counter=None)
        plan = PeerPlan(addresses[1], addresses)
        deployment = Deployment(settings, NAMES, ((HOST, 0),), (HOST, 1), None, 1024, peers=plan)
        node = Node(deployment, 1, (Members(ListKind.CACHED, 1, ()), []), loop)
        await node.start(0.0)
        received: asyncio.Queue[PeerMessage] = asyncio.Queue()
        borrower = Peers(addresses, 0, received.put_nowait, loop)
        await borrower.open(addresses[0])
        borrower.tell(1, encode(replace(ASKED, entry_points=2, loan_id=9, units=0.001)))
        answer = decode((await received.get()).data)
        assert answer is not None and not isinstance(answer, LoanRequest) and answer.loan_id == 9
        borrower.close()
        node.close()

    run(scenario)


def test_the_engine_sends_messages_of_the_decision_module() -> None:
    async def scenario() -> None:
        engine = Engine(LENT, 1, asyncio.get_running_loop())
        sent: list[tuple[int | None, bytes]] = []

        class FakePeers:
            def tell(self, to: int | None, data: bytes) -> None:
                sent.append((to, data))

        engine._carry_out(Tell(3, b"before there are peers"))
        engine.peers = FakePeers()
        engine._carry_out(Tell(3, b"hello"))
        assert sent == [(3, b"hello")]

    run(scenario)


@pytest.mark.parametrize("missing", ["peers", "peer_listen", "allowed"])
def test_a_gateway_that_can_reach_no_peers_does_not_wait_for_replies(missing: str) -> None:
    raw: dict[str, Any] = json.loads(json.dumps(config(1, 2, 3)))
    raw["settings"] = {**NAMED, "limits": {**NAMED["limits"], "peers": missing != "allowed"}}
    raw |= {"peers": ["127.0.0.1:7", "127.0.0.1:8"], "peer_listen": "127.0.0.1:7"}
    whole = program.read_deployment(raw | {"settings": {**raw["settings"], "limits": {
        **raw["settings"]["limits"], "peers": True}}})  # fmt: skip
    assert whole.settings.limits.peers
    assert whole.peers == PeerPlan((LOCAL, 7), ((LOCAL, 7), (LOCAL, 8)))
    raw.pop(missing, None)
    deployment = program.read_deployment(raw)
    assert deployment.peers is None
    assert not deployment.settings.limits.peers


def test_without_messages_a_request_is_refused_at_once() -> None:
    fleet = Gateways(replace(LENT, limits=SETTINGS.limits), 1)
    request = Request(99, 0, 0, CUSTOMER, 2.0, 3 * SECOND, 12, 0)
    assert [type(a).__name__ for a in fleet.gateways[0].handle(fleet.now, request)] == ["Refuse"]

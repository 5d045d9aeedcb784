"""A counter over the Redis protocol, against the stand-in that ordinary client libraries work with, too."""

import asyncio
import contextlib
import random
import ssl
import subprocess
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import redis.asyncio as library
import redis.exceptions as errors

from lynxreel.counters.bump import Counter as Bump
from lynxreel.counters.redis import Options, RedisCounter, Tls
from lynxreel.protocol import redis as wire
from lynxreel.standins.base import Clock
from lynxreel.standins.counter import Counter as BumpStandin
from lynxreel.standins.faults import Fault, Faults, Kind
from lynxreel.standins.redis import Redis, Ring
from mothgap.interface import Counted, CountedLate, Result
from tests.net import run

LIMIT = 2_000_000  # microseconds: long enough for a busy machine
LIFE = 20_000_000
ABORT = wire.ErrorReply("EXECABORT Transaction discarded because of previous errors.")


class Heard:
    """What a counter posts."""

    def __init__(self) -> None:
        self.events: asyncio.Queue[Counted | CountedLate] = asyncio.Queue()

    async def next(self) -> tuple[int, Result, float]:
        event = await self.events.get()
        assert isinstance(event, Counted)
        return event.name, event.result, event.total


async def node(name: str = "redis", password: str = "", seed: int = 1, tls: Any = None) -> Redis:
    made = Redis(Faults(seed), Clock(asyncio.get_running_loop()), name, password)
    await made.open(tls=tls)
    return made


@contextlib.asynccontextmanager
async def calling(options: Options, limit: int = LIMIT) -> AsyncIterator[tuple[RedisCounter, Heard]]:
    heard = Heard()
    counter = RedisCounter(options, limit, heard.events.put_nowait, asyncio.get_running_loop())
    try:
        yield counter, heard
    finally:
        counter.close()


async def until_up(counter: Any, heard: Heard, name: int = 1) -> None:
    """Call until it is answered."""
    while True:
        counter.add(name, 0.0, LIFE)
        if (await heard.next())[1] is Result.OK:
            return
        await asyncio.sleep(0.01)


# --- the protocol without I/O ---------------------------------------------------------------------------


def test_slots_are_those_of_the_published_examples() -> None:
    assert wire.slot(b"123456789") == 0x31C3
    assert wire.slot(b"{user1000}.following") == wire.slot(b"{user1000}.followers") == wire.slot(b"user1000")
    assert wire.slot(b"foo{}{bar}") == wire.slot(b"foo{}{bar}") != wire.slot(b"bar")
    assert wire.slot(b"foo{{bar}}zap") == wire.slot(b"{bar")


@pytest.mark.parametrize(
    ("replies", "told"),
    [
        (["OK", "QUEUED", "QUEUED", [None, b"2.5"]], wire.CallResult(Result.OK, 2.5)),
        (["OK", "QUEUED", "QUEUED", [b"OK", b"1"]], wire.CallResult(Result.OK, 1.0)),
        (
            ["OK", wire.ErrorReply("MOVED 5 10.0.0.1:7"), wire.ErrorReply("MOVED 5 10.0.0.1:7"), ABORT],
            wire.Redirect(("10.0.0.1", 7), 5, False),
        ),
        (
            ["OK", wire.ErrorReply("ASK 5 10.0.0.1:7"), "QUEUED", ABORT],
            wire.Redirect(("10.0.0.1", 7), 5, True),
        ),
        (["OK", wire.ErrorReply("OOM no"), wire.ErrorReply("OOM no"), ABORT], wire.CallResult(Result.FULL)),
        (
            ["OK", wire.ErrorReply("READONLY no"), "QUEUED", ABORT],
            wire.CallResult(Result.FULL, drop_connection=True),
        ),
        (["OK", "QUEUED", "QUEUED", [b"OK", wire.ErrorReply("ERR no float")]], wire.CallResult(Result.FULL)),
        (["OK", "QUEUED", "QUEUED", [b"OK", b"much"]], wire.CallResult(Result.RESET, drop_connection=True)),
        (["OK", "QUEUED", "QUEUED", b"2"], wire.CallResult(Result.RESET, drop_connection=True)),
        (["OK", "QUEUED", "QUEUED", [b"OK", b"nan"]], wire.CallResult(Result.RESET, drop_connection=True)),
    ],
)
def test_what_replies_come_to(replies: list[Any], told: wire.CallResult | wire.Redirect) -> None:
    assert wire.outcome(replies) == told


def test_a_map_of_slots_that_is_none_is_told() -> None:
    reply = [[0, 5, [b"", 7, b"id"]], [6, 16383, [b"10.0.0.2", 8, b"id"], [b"10.0.0.3", 8, b"id"]]]
    assert wire.slot_map(reply, ("10.0.0.1", 7)) == [(0, 5, ("10.0.0.1", 7)), (6, 16383, ("10.0.0.2", 8))]
    for wrong in (None, 5, [[1]], [[1, 2, 3]], [[b"x", 2, [b"a", 1]]]):
        with pytest.raises(ValueError, match="no map"):
            wire.slot_map(wrong, ("", 0))


# --- the stand-in, as ordinary libraries see it ---------------------------------------------------------


@pytest.mark.parametrize("protocol", [2, 3])
def test_an_ordinary_client_library_works_against_the_stand_in(protocol: int) -> None:
    async def scenario() -> None:
        server = await node(password="secret")
        host, port = server.address
        client = library.Redis(host=host, port=port, password="secret", protocol=protocol)
        assert await client.ping()
        assert await client.set("a", "0", px=60_000, nx=True)
        assert await client.set("a", "9", px=60_000, nx=True) is None
        assert await client.incrbyfloat("a", 2.5) == 2.5
        assert 0 < await client.pttl("a") <= 60_000
        async with client.pipeline(transaction=True) as pipe:
            pipe.set("b", 0, px=50, nx=True)
            pipe.incrbyfloat("b", 1.25)
            assert await pipe.execute() == [True, 1.25]
        assert await client.get("b") == b"1.25"
        await asyncio.sleep(0.08)
        assert await client.get("b") is None
        assert await client.exists("a") == 1
        assert await client.delete("a") == 1
        with pytest.raises(errors.ResponseError):
            await client.execute_command("DANCE")  # type: ignore[no-untyped-call]
        await client.aclose()
        stranger = library.Redis(host=host, port=port, protocol=protocol)
        with pytest.raises(errors.AuthenticationError):
            await stranger.get("a")
        await stranger.aclose()
        server.listener.close()

    run(scenario)


def test_an_ordinary_cluster_client_works_against_the_stand_in() -> None:
    async def scenario() -> None:
        nodes = [await node(f"n{number}") for number in range(3)]
        ring = Ring.even([one.address for one in nodes])
        for one in nodes:
            one.ring = ring
        client = library.RedisCluster(host=nodes[0].address[0], port=nodes[0].address[1])
        for number in range(20):
            assert await client.incrbyfloat(f"k{number}", 1.5) == 1.5
        assert all(one.adds > 0 for one in nodes)
        before = nodes[1].adds
        ring.owners = [nodes[1].address] * wire.SLOTS  # all moves: MOVED is followed
        for number in range(20):
            await client.incrbyfloat(f"k{number}", 1.0)
        assert nodes[1].adds == before + 20
        await client.aclose()
        for one in nodes:
            one.listener.close()

    run(scenario)


# --- the same tests for both counters -------------------------------------------------------------------

Make = Callable[[Heard, Faults, int], Awaitable[tuple[Any, Callable[[], float], Callable[[], None]]]]


async def bump(heard: Heard, faults: Faults, limit: int) -> Any:
    standin = BumpStandin(faults, Clock(asyncio.get_running_loop()))
    await standin.listener.open()
    post = heard.events.put_nowait
    counter = Bump(standin.listener.address, limit, post, asyncio.get_running_loop())
    return counter, lambda: standin.added["1"], standin.listener.close


async def over_redis(heard: Heard, faults: Faults, limit: int) -> Any:
    standin = Redis(faults, Clock(asyncio.get_running_loop()), "counter")
    await standin.open()
    options, post = Options((standin.address,)), heard.events.put_nowait
    counter = RedisCounter(options, limit, post, asyncio.get_running_loop())
    return counter, lambda: standin.total("lynxreel:1"), standin.listener.close


@pytest.fixture(params=[bump, over_redis])
def make(request: pytest.FixtureRequest) -> Make:
    found: Make = request.param
    return found


def both(make: Make, play: Callable[..., Awaitable[None]], limit: int = LIMIT) -> None:
    async def scenario() -> None:
        heard, faults = Heard(), Faults(1)
        counter, total, close = await make(heard, faults, limit)
        await until_up(counter, heard)
        await play(counter, heard, faults, total)
        counter.close()
        close()

    run(scenario)


def test_totals_come_in_the_order_of_their_calls(make: Make) -> None:
    async def play(counter: Any, heard: Heard, faults: Faults, total: Callable[[], float]) -> None:
        for _ in range(50):
            counter.add(1, 1.0, LIFE)
            counter.add(2, -0.5, LIFE)
        told = [await heard.next() for _ in range(100)]
        assert [total for name, _, total in told if name == 1] == [float(n + 1) for n in range(50)]
        assert [total for name, _, total in told if name == 2] == [-0.5 * (n + 1) for n in range(50)]

    both(make, play)


def test_a_call_that_is_turned_away_added_nothing(make: Make) -> None:
    async def play(counter: Any, heard: Heard, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.REFUSE))
        counter.add(1, 5.0, LIFE)
        assert (await heard.next())[1] is Result.FULL
        faults.off()
        counter.add(1, 1.0, LIFE)
        assert (await heard.next())[1:] == (Result.OK, 1.0)
        assert total() == 1.0

    both(make, play)


@pytest.mark.parametrize("kind", [Kind.RESET, Kind.SPOILT])
def test_a_call_whose_answer_is_lost_may_have_been_added_and_the_next_one_is_answered(
    make: Make, kind: Kind
) -> None:
    async def play(counter: Any, heard: Heard, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(kind))
        counter.add(1, 5.0, LIFE)
        assert (await heard.next())[1] is Result.RESET
        faults.off()
        await until_up(counter, heard)
        assert total() == 5.0

    both(make, play)


def test_a_call_that_is_not_answered_times_out_and_its_total_is_told_late(make: Make) -> None:
    async def play(counter: Any, heard: Heard, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.SLOW, delay=0.3))
        counter.add(1, 5.0, LIFE)
        assert (await heard.next())[1] is Result.TIMEOUT
        assert await heard.events.get() == CountedLate(1, 5.0, 5.0)

    both(make, play, limit=100_000)


def test_while_nothing_is_there_calls_end_at_once_and_it_is_found_again(make: Make) -> None:
    async def play(counter: Any, heard: Heard, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.DEAD))
        result = Result.OK
        while result is not Result.CONNECT_FAILED:
            counter.add(1, 0.0, LIFE)
            result = (await heard.next())[1]
            await asyncio.sleep(0.005)
        faults.off()
        await until_up(counter, heard)

    both(make, play)


def test_a_counter_that_is_left_ends_its_calls_at_once(make: Make) -> None:
    async def play(counter: Any, heard: Heard, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.SILENT))
        counter.add(1, 1.0, LIFE)
        counter.close()
        event = heard.events.get_nowait()
        assert isinstance(event, Counted)
        assert (event.result, heard.events.empty()) == (Result.RESET, True)

    both(make, play)


# --- a cluster, a failover, TLS -------------------------------------------------------------------------


def test_a_slot_that_moves_is_followed_and_no_add_is_lost_or_doubled() -> None:
    async def scenario() -> None:
        nodes = [await node(f"n{number}") for number in range(3)]
        ring = Ring.even([one.address for one in nodes])
        for one in nodes:
            one.ring = ring
        async with calling(Options((nodes[0].address,), cluster=True)) as (counter, heard):
            for name in range(30):
                await until_up(counter, heard, name)
            draw, sent = random.Random(3), dict.fromkeys(range(30), 0.0)
            for step in range(600):
                name = draw.randrange(30)
                if step % 20 == 0:  # one name's slot goes elsewhere, with what it holds
                    number = wire.slot(b"lynxreel:%x" % name)
                    old = next(one for one in nodes if one.address == ring.owners[number])
                    new = draw.choice(nodes)
                    for key in [key for key in old.store.keys if wire.slot(key) == number]:
                        new.store.keys[key] = old.store.keys.pop(key)
                    ring.owners[number] = new.address
                sent[name] += 1.0
                counter.add(name, 1.0, LIFE)
                assert await heard.next() == (name, Result.OK, sent[name])
            held = {name: sum(one.total(f"lynxreel:{name:x}") for one in nodes) for name in range(30)}
            assert held == sent
        for one in nodes:
            one.listener.close()

    run(scenario)


def test_a_slot_on_its_way_is_asked_for_where_it_goes() -> None:
    async def scenario() -> None:
        nodes = [await node(f"n{number}") for number in range(2)]
        ring = Ring([nodes[0].address] * wire.SLOTS)
        for one in nodes:
            one.ring = ring
        async with calling(Options((nodes[0].address,), cluster=True)) as (counter, heard):
            await until_up(counter, heard, 9)
            ring.going = dict.fromkeys(range(wire.SLOTS), nodes[1].address)
            counter.add(5, 2.0, LIFE)  # not there yet: ASK
            counter.add(9, 1.0, LIFE)  # still there
            told = {(await heard.next())[:2] for _ in range(2)}
            while told != {(5, Result.OK), (9, Result.OK)}:  # the first ASK only opens the connection
                told = set()
                counter.add(5, 2.0, LIFE)
                counter.add(9, 1.0, LIFE)
                told = {(await heard.next())[:2] for _ in range(2)}
                await asyncio.sleep(0.01)
            assert nodes[1].total("lynxreel:5") > 0
            assert nodes[0].total("lynxreel:9") > 0
        for one in nodes:
            one.listener.close()

    run(scenario)


def test_a_failover_is_followed_by_way_of_the_sentinels() -> None:
    async def scenario() -> None:
        first, second = await node("a"), await node("b")
        second.role = "slave"
        dead, sentinel = await node("s0"), await node("s1")
        dead.listener.close()
        sentinel.masters["quota"] = first.address
        options = Options((dead.address, sentinel.address), sentinel="quota")
        async with calling(options) as (counter, heard):
            await until_up(counter, heard)
            counter.add(1, 4.0, LIFE)
            assert (await heard.next())[1:] == (Result.OK, 4.0)
            first.fail_over(second, 0.0)
            first.listener.close()
            sentinel.masters["quota"] = second.address
            await until_up(counter, heard)
            counter.add(1, 1.0, LIFE)
            assert (await heard.next())[1:] == (Result.OK, 5.0)
        for one in (second, sentinel):
            one.listener.close()

    run(scenario)


def test_an_old_primary_that_has_become_a_replica_is_left() -> None:
    async def scenario() -> None:
        first, second, sentinel = await node("a"), await node("b"), await node("s")
        second.role = "slave"
        sentinel.masters["quota"] = first.address
        async with calling(Options((sentinel.address,), sentinel="quota")) as (counter, heard):
            await until_up(counter, heard)
            first.role, second.role = "slave", "master"  # no connection is reset
            sentinel.masters["quota"] = second.address
            counter.add(1, 1.0, LIFE)
            assert (await heard.next())[1] is Result.FULL
            await until_up(counter, heard)
            assert second.adds > 0
        for one in (first, second, sentinel):
            one.listener.close()

    run(scenario)


def certificate(folder: Path, name: str) -> tuple[str, str]:
    """A certificate that signs itself, for an address; its file and its key's."""
    made, key = folder / f"{name}.pem", folder / f"{name}.key"
    words = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2"
    place = ["-subj", "/CN=counter", "-addext", "subjectAltName=IP:127.0.0.1"]
    place += ["-keyout", str(key), "-out", str(made)]
    subprocess.run([*words.split(), *place], check=True, capture_output=True)
    return str(made), str(key)


def test_tls_with_the_right_certificate_and_not_with_a_wrong_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        right, other = certificate(tmp_path, "right"), certificate(tmp_path, "other")
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(*right)
        server = await node(password="secret", tls=context)
        options = Options((server.address,), password="secret", tls=Tls(ca=right[0]))
        async with calling(options) as (counter, heard):
            await until_up(counter, heard)
            counter.add(1, 2.0, LIFE)
            assert (await heard.next())[1:] == (Result.OK, 2.0)
        stranger, plain = replace(options, tls=Tls(ca=other[0])), replace(options, tls=None)
        for wrong in (stranger, plain, replace(options, password="no")):
            async with calling(wrong, limit=100_000) as (counter, heard):
                await asyncio.sleep(0.2)
                counter.add(1, 1.0, LIFE)
                assert (await heard.next())[1] is not Result.OK
        assert server.total("lynxreel:1") == 2.0
        server.listener.close()

    run(scenario)

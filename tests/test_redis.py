"""Tests of the Redis counter against a stand-in, which is itself tested with an ordinary client library."""

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
import redis.asyncio as redis_client
import redis.exceptions as errors

from lynxreel.counters.bump import Counter as Bump
from lynxreel.counters.redis import Options, RedisCounter, Tls
from lynxreel.protocol import redis as wire
from lynxreel.standins.base import Clock
from lynxreel.standins.counter import Counter as BumpStandin
from lynxreel.standins.faults import Fault, Faults, Kind
from lynxreel.standins.redis import Redis, Ring
from mothgap.interface import Counted, CountedLate, Result
from tests.net import LOCAL, ScriptedServer, run

TIME_LIMIT = 2_000_000  # microseconds; long enough for a busy machine
LIFETIME = 20_000_000  # microseconds
ABORT = wire.ErrorReply("EXECABORT Transaction discarded because of previous errors.")


class Posted:
    """Events posted by a counter."""

    def __init__(self) -> None:
        self.events: asyncio.Queue[Counted | CountedLate] = asyncio.Queue()

    async def next(self) -> tuple[int, Result, float]:
        event = await self.events.get()
        assert isinstance(event, Counted)
        return event.name, event.result, event.total


async def node(name: str = "redis", password: str = "", seed: int = 1, tls: Any = None) -> Redis:
    server = Redis(Faults(seed), Clock(asyncio.get_running_loop()), name, password)
    await server.open(tls=tls)
    return server


@contextlib.asynccontextmanager
async def running_counter(
    options: Options, limit: int = TIME_LIMIT
) -> AsyncIterator[tuple[RedisCounter, Posted]]:
    posted = Posted()
    counter = RedisCounter(options, limit, posted.events.put_nowait, asyncio.get_running_loop())
    try:
        yield counter, posted
    finally:
        counter.close()


async def wait_until_connected(counter: Any, posted: Posted, name: int = 1) -> None:
    """Call until a call succeeds."""
    while True:
        counter.add(name, 0.0, LIFETIME)
        if (await posted.next())[1] is Result.OK:
            return
        await asyncio.sleep(0.01)


# --- the protocol without I/O ---------------------------------------------------------------------------


def test_slots_match_the_published_examples() -> None:
    assert wire.slot(b"123456789") == 0x31C3
    assert wire.slot(b"{user1000}.following") == wire.slot(b"{user1000}.followers") == wire.slot(b"user1000")
    assert wire.slot(b"foo{}{bar}") == wire.slot(b"foo{}{bar}") != wire.slot(b"bar")
    assert wire.slot(b"foo{{bar}}zap") == wire.slot(b"{bar")


@pytest.mark.parametrize(
    ("replies", "expected"),
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
def test_replies_give_their_outcome(replies: list[Any], expected: wire.CallResult | wire.Redirect) -> None:
    assert wire.outcome(replies) == expected


def test_an_invalid_slot_map_is_rejected() -> None:
    reply = [[0, 5, [b"", 7, b"id"]], [6, 16383, [b"10.0.0.2", 8, b"id"], [b"10.0.0.3", 8, b"id"]]]
    assert wire.slot_map(reply, ("10.0.0.1", 7)) == [(0, 5, ("10.0.0.1", 7)), (6, 16383, ("10.0.0.2", 8))]
    for invalid in (None, 5, [[1]], [[1, 2, 3]], [[b"x", 2, [b"a", 1]]]):
        with pytest.raises(ValueError, match="no map"):
            wire.slot_map(invalid, ("", 0))


# --- the stand-in with an ordinary client library -------------------------------------------------------


@pytest.mark.parametrize("protocol", [2, 3])
def test_an_ordinary_client_library_works_against_the_stand_in(protocol: int) -> None:
    async def scenario() -> None:
        server = await node(password="secret")
        host, port = server.address
        client = redis_client.Redis(host=host, port=port, password="secret", protocol=protocol)
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
        stranger = redis_client.Redis(host=host, port=port, protocol=protocol)
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
        client = redis_client.RedisCluster(host=nodes[0].address[0], port=nodes[0].address[1])
        for number in range(20):
            assert await client.incrbyfloat(f"k{number}", 1.5) == 1.5
        assert all(one.adds > 0 for one in nodes)
        before = nodes[1].adds
        ring.owners = [nodes[1].address] * wire.SLOTS  # every slot moves; the client follows MOVED
        for number in range(20):
            await client.incrbyfloat(f"k{number}", 1.0)
        assert nodes[1].adds == before + 20
        await client.aclose()
        for one in nodes:
            one.listener.close()

    run(scenario)


# --- the same tests for both kinds of counter -----------------------------------------------------------

CounterFactory = Callable[
    [Posted, Faults, int], Awaitable[tuple[Any, Callable[[], float], Callable[[], None]]]
]


async def bump(posted: Posted, faults: Faults, limit: int) -> Any:
    standin = BumpStandin(faults, Clock(asyncio.get_running_loop()))
    await standin.listener.open()
    post = posted.events.put_nowait
    counter = Bump(standin.listener.address, limit, post, asyncio.get_running_loop())
    return counter, lambda: standin.added["1"], standin.listener.close


async def over_redis(posted: Posted, faults: Faults, limit: int) -> Any:
    standin = Redis(faults, Clock(asyncio.get_running_loop()), "counter")
    await standin.open()
    options, post = Options((standin.address,)), posted.events.put_nowait
    counter = RedisCounter(options, limit, post, asyncio.get_running_loop())
    return counter, lambda: standin.total("lynxreel:1"), standin.listener.close


@pytest.fixture(params=[bump, over_redis])
def make_counter(request: pytest.FixtureRequest) -> CounterFactory:
    found: CounterFactory = request.param
    return found


def run_with(
    make_counter: CounterFactory, scenario: Callable[..., Awaitable[None]], limit: int = TIME_LIMIT
) -> None:
    async def start() -> None:
        posted, faults = Posted(), Faults(1)
        counter, total, close = await make_counter(posted, faults, limit)
        await wait_until_connected(counter, posted)
        await scenario(counter, posted, faults, total)
        counter.close()
        close()

    run(start)


def test_totals_are_posted_in_the_order_of_calls(make_counter: CounterFactory) -> None:
    async def scenario(counter: Any, posted: Posted, faults: Faults, total: Callable[[], float]) -> None:
        for _ in range(50):
            counter.add(1, 1.0, LIFETIME)
            counter.add(2, -0.5, LIFETIME)
        outcomes = [await posted.next() for _ in range(100)]
        assert [total for name, _, total in outcomes if name == 1] == [float(n + 1) for n in range(50)]
        assert [total for name, _, total in outcomes if name == 2] == [-0.5 * (n + 1) for n in range(50)]

    run_with(make_counter, scenario)


def test_a_refused_call_adds_nothing(make_counter: CounterFactory) -> None:
    async def scenario(counter: Any, posted: Posted, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.REFUSE))
        counter.add(1, 5.0, LIFETIME)
        assert (await posted.next())[1] is Result.FULL
        faults.off()
        counter.add(1, 1.0, LIFETIME)
        assert (await posted.next())[1:] == (Result.OK, 1.0)
        assert total() == 1.0

    run_with(make_counter, scenario)


@pytest.mark.parametrize("kind", [Kind.RESET, Kind.SPOILT])
def test_a_call_whose_answer_is_lost_may_have_been_added_and_later_calls_succeed(
    make_counter: CounterFactory, kind: Kind
) -> None:
    async def scenario(counter: Any, posted: Posted, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(kind))
        counter.add(1, 5.0, LIFETIME)
        assert (await posted.next())[1] is Result.RESET
        faults.off()
        await wait_until_connected(counter, posted)
        assert total() == 5.0

    run_with(make_counter, scenario)


def test_an_unanswered_call_times_out_and_its_total_is_posted_late(make_counter: CounterFactory) -> None:
    async def scenario(counter: Any, posted: Posted, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.SLOW, delay=0.3))
        counter.add(1, 5.0, LIFETIME)
        assert (await posted.next())[1] is Result.TIMEOUT
        assert await posted.events.get() == CountedLate(1, 5.0, 5.0)

    run_with(make_counter, scenario, limit=100_000)


def test_calls_fail_at_once_while_the_server_is_down_and_succeed_after_it_is_back(
    make_counter: CounterFactory,
) -> None:
    async def scenario(counter: Any, posted: Posted, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.DEAD))
        result = Result.OK
        while result is not Result.CONNECT_FAILED:
            counter.add(1, 0.0, LIFETIME)
            result = (await posted.next())[1]
            await asyncio.sleep(0.005)
        faults.off()
        await wait_until_connected(counter, posted)

    run_with(make_counter, scenario)


def test_closing_a_counter_ends_its_calls_at_once(make_counter: CounterFactory) -> None:
    async def scenario(counter: Any, posted: Posted, faults: Faults, total: Callable[[], float]) -> None:
        faults.on(Fault(Kind.SILENT))
        counter.add(1, 1.0, LIFETIME)
        counter.close()
        event = posted.events.get_nowait()
        assert isinstance(event, Counted)
        assert (event.result, posted.events.empty()) == (Result.RESET, True)

    run_with(make_counter, scenario)


# --- a cluster, a failover, TLS -------------------------------------------------------------------------


def test_moved_slots_are_followed_and_no_increment_is_lost_or_doubled() -> None:
    async def scenario() -> None:
        nodes = [await node(f"n{number}") for number in range(3)]
        ring = Ring.even([one.address for one in nodes])
        for one in nodes:
            one.ring = ring
        async with running_counter(Options((nodes[0].address,), cluster=True)) as (counter, posted):
            for name in range(30):
                await wait_until_connected(counter, posted, name)
            rng, added = random.Random(3), dict.fromkeys(range(30), 0.0)
            for step in range(600):
                name = rng.randrange(30)
                if step % 20 == 0:  # move the slot of one name and its keys to another node
                    number = wire.slot(b"lynxreel:%x" % name)
                    old = next(one for one in nodes if one.address == ring.owners[number])
                    new = rng.choice(nodes)
                    for key in [key for key in old.store.keys if wire.slot(key) == number]:
                        new.store.keys[key] = old.store.keys.pop(key)
                    ring.owners[number] = new.address
                added[name] += 1.0
                counter.add(name, 1.0, LIFETIME)
                assert await posted.next() == (name, Result.OK, added[name])
            totals = {name: sum(one.total(f"lynxreel:{name:x}") for one in nodes) for name in range(30)}
            assert totals == added
        for one in nodes:
            one.listener.close()

    run(scenario)


def test_a_slot_that_is_being_migrated_is_called_on_its_new_node() -> None:
    async def scenario() -> None:
        nodes = [await node(f"n{number}") for number in range(2)]
        ring = Ring([nodes[0].address] * wire.SLOTS)
        for one in nodes:
            one.ring = ring
        async with running_counter(Options((nodes[0].address,), cluster=True)) as (counter, posted):
            await wait_until_connected(counter, posted, 9)
            ring.going = dict.fromkeys(range(wire.SLOTS), nodes[1].address)
            counter.add(5, 2.0, LIFETIME)  # its key does not exist yet: ASK
            counter.add(9, 1.0, LIFETIME)  # its key is still on the old node
            results = {(await posted.next())[:2] for _ in range(2)}
            # The first ASK only opens the connection, and the call fails.
            while results != {(5, Result.OK), (9, Result.OK)}:
                results = set()
                counter.add(5, 2.0, LIFETIME)
                counter.add(9, 1.0, LIFETIME)
                results = {(await posted.next())[:2] for _ in range(2)}
                await asyncio.sleep(0.01)
            assert nodes[1].total("lynxreel:5") > 0
            assert nodes[0].total("lynxreel:9") > 0
        for one in nodes:
            one.listener.close()

    run(scenario)


def test_a_failover_is_followed_through_the_sentinels() -> None:
    async def scenario() -> None:
        first, second = await node("a"), await node("b")
        second.role = "slave"
        dead, sentinel = await node("s0"), await node("s1")
        dead.listener.close()
        sentinel.masters["quota"] = first.address
        options = Options((dead.address, sentinel.address), sentinel="quota")
        async with running_counter(options) as (counter, posted):
            await wait_until_connected(counter, posted)
            counter.add(1, 4.0, LIFETIME)
            assert (await posted.next())[1:] == (Result.OK, 4.0)
            first.fail_over(second, 0.0)
            first.listener.close()
            sentinel.masters["quota"] = second.address
            await wait_until_connected(counter, posted)
            counter.add(1, 1.0, LIFETIME)
            assert (await posted.next())[1:] == (Result.OK, 5.0)
        for one in (second, sentinel):
            one.listener.close()

    run(scenario)


# Guards against a look-up that ends at the first Sentinel, each time, where that says nothing.
def test_a_silent_sentinel_does_not_keep_the_others_from_being_asked() -> None:
    async def scenario() -> None:
        primary, sentinel = await node("a"), await node("s1")
        sentinel.masters["quota"] = primary.address
        async with ScriptedServer() as silent:
            options = Options(((LOCAL, silent.port), sentinel.address), sentinel="quota")
            async with running_counter(options) as (counter, posted):
                await wait_until_connected(counter, posted)
        for one in (primary, sentinel):
            one.listener.close()

    run(scenario)


# Guards against connections that are given up after a fixed time, for ever, where signing in takes longer.
@pytest.mark.parametrize("cluster", [False, True])
def test_a_server_at_which_signing_in_takes_longer_than_the_interval_is_called(cluster: bool) -> None:
    async def scenario() -> None:
        server = await node("a", password="secret")
        server.sign_in_delay = 1.2
        if cluster:
            server.ring = Ring.even([server.address])
        options = Options((server.address,), cluster=cluster, password="secret")
        async with running_counter(options) as (counter, posted):
            await wait_until_connected(counter, posted)
        server.listener.close()

    run(scenario)


def test_an_old_primary_that_has_become_a_replica_is_dropped() -> None:
    async def scenario() -> None:
        first, second, sentinel = await node("a"), await node("b"), await node("s")
        second.role = "slave"
        sentinel.masters["quota"] = first.address
        async with running_counter(Options((sentinel.address,), sentinel="quota")) as (counter, posted):
            await wait_until_connected(counter, posted)
            first.role, second.role = "slave", "master"  # no connection is reset
            sentinel.masters["quota"] = second.address
            counter.add(1, 1.0, LIFETIME)
            assert (await posted.next())[1] is Result.FULL
            await wait_until_connected(counter, posted)
            assert second.adds > 0
        for one in (first, second, sentinel):
            one.listener.close()

    run(scenario)


def certificate(folder: Path, name: str) -> tuple[str, str]:
    """Create a self-signed certificate for 127.0.0.1; return the paths of the certificate and its key."""
    path, key = folder / f"{name}.pem", folder / f"{name}.key"
    command = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2"
    options = ["-subj", "/CN=counter", "-addext", "subjectAltName=IP:127.0.0.1"]
    options += ["-keyout", str(key), "-out", str(path)]
    subprocess.run([*command.split(), *options], check=True, capture_output=True)
    return str(path), str(key)


def test_tls_connects_only_with_the_right_certificate(tmp_path: Path) -> None:
    async def scenario() -> None:
        right, other = certificate(tmp_path, "right"), certificate(tmp_path, "other")
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(*right)
        server = await node(password="secret", tls=context)
        options = Options((server.address,), password="secret", tls=Tls(ca=right[0]))
        async with running_counter(options) as (counter, posted):
            await wait_until_connected(counter, posted)
            counter.add(1, 2.0, LIFETIME)
            assert (await posted.next())[1:] == (Result.OK, 2.0)
        other_ca, plain = replace(options, tls=Tls(ca=other[0])), replace(options, tls=None)
        for changed in (other_ca, plain, replace(options, password="no")):
            async with running_counter(changed, limit=100_000) as (counter, posted):
                await asyncio.sleep(0.2)
                counter.add(1, 1.0, LIFETIME)
                assert (await posted.next())[1] is not Result.OK
        assert server.total("lynxreel:1") == 2.0
        server.listener.close()

    run(scenario)

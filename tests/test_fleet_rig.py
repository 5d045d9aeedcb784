"""The rig of the process tests itself."""

import asyncio
import re
import socket
import struct
import threading
import time

import pytest

from lynxreel.standins.base import Clock, Link, Listener
from lynxreel.standins.box import value_for
from lynxreel.standins.clients import Front, Gate
from lynxreel.standins.faults import Fault, Faults, Kind
from lynxreel.standins.ledger import Ledger
from lynxreel.standins.traffic import Class, Customer, Wish
from tests.fleet import Caller
from tests.net import LOCAL, run


def test_answers_that_came_before_a_reset_are_read() -> None:
    """Guards the drain's test: its client writes on while the gateway closes, and reads afterwards."""

    async def scenario() -> None:
        with socket.create_server((LOCAL, 0)) as server:
            server.setblocking(False)

            class Listening:
                gate = Gate("g0", server.getsockname()[:2])

            caller = await Caller.to(Listening())  # type: ignore[arg-type]
            accepted, _ = await asyncio.get_running_loop().sock_accept(server)
            await asyncio.get_running_loop().sock_sendall(accepted, b"+one\r\n+two\r\n")
            await asyncio.sleep(0.01)  # they lie in the client's buffer
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()  # a reset
            while not caller.writer.transport.is_closing():
                caller.command("PING")
                await asyncio.sleep(0.01)
            assert [await caller.answer() for _ in range(3)] == [b"+one", b"+two", b""]

    run(scenario)


def test_a_listener_that_is_dead_for_a_while_never_lets_go_of_its_port() -> None:
    """Guards every test in which a stand-in dies and comes back: others draw ports all the time."""
    taken = list[socket.socket]()
    over = threading.Event()

    def take(address: tuple[str, int]) -> None:
        while not over.is_set() and not taken:
            other = socket.socket()
            try:
                other.bind(address)
                taken.append(other)
            except OSError:
                other.close()

    async def scenario() -> None:
        faults, clock = Faults(1), Clock(asyncio.get_running_loop())
        listener = Listener("one", faults, clock, Link)
        await listener.open()
        others = [threading.Thread(target=take, args=(listener.address,)) for _ in range(2)]
        for other in others:
            other.start()
        try:
            for _ in range(10):
                faults.on(Fault(Kind.DEAD, target="one"))
                while listener.up:
                    await asyncio.sleep(0.002)
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(*listener.address)
                faults.off()
                while not listener.up:
                    await asyncio.sleep(0.002)
                _, writer = await asyncio.open_connection(*listener.address)
                writer.close()
        finally:
            over.set()
            listener.close()
            for other in others:
                other.join()
            for own in taken:
                own.close()
        assert not taken

    run(scenario)


def test_a_listener_does_not_share_the_port_of_another_one() -> None:
    async def scenario() -> None:
        clock = Clock(asyncio.get_running_loop())
        listeners = [Listener(name, Faults(1), clock, Link) for name in ("one", "other")]
        await listeners[0].open()
        with pytest.raises(OSError):
            await listeners[1].open(*listeners[0].address)
        for listener in listeners:
            listener.close()

    run(scenario)


PATIENCE = 0.3  # seconds of a client
TOLD = re.compile(rb"\$16\r\n([0-9a-f]{16})\r\n\$\d+\r\n\S*?d=(\d+)")


class Answering:
    """A gateway in a thread of its own: it goes on while the clients' loop stands still."""

    def __init__(self, after: float | None) -> None:
        """`after`: seconds from the request to its answer, from the end of its time if negative."""
        self._after = after
        self._server = socket.create_server((LOCAL, 0))
        self.gate = Gate("g0", self._server.getsockname()[:2])
        self.told: list[int] = []  # milliseconds that each request had left
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                own, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(own,), daemon=True).start()

    def _serve(self, own: socket.socket) -> None:
        while data := own.recv(4096):
            told = TOLD.search(data)
            if told is None:
                own.sendall(b"+PONG\r\n")
                continue
            self.told.append(int(told[2]))
            if self._after is not None:
                time.sleep(self._after)
                value = value_for(told[1])
                own.sendall(b"$%d\r\n%b\r\n" % (len(value), value))

    def close(self) -> None:
        self._server.close()


async def asked_once(gateway: Answering, held_up: float) -> dict[str, int]:
    """One request; the clients' process stands still for so long after it. The counts of the books."""
    ledger = Ledger({})
    front = Front([gateway.gate], ledger, 1, retries=0)
    while not gateway.gate.up:
        await asyncio.sleep(0.01)
    lookup = Class("lookup", False, 1.0, 1.0, PATIENCE)
    front.want(Wish(0.0, Customer(77, "none", 1.0, 1, 0), lookup, PATIENCE))
    while not gateway.told:
        await asyncio.sleep(0.002)
    time.sleep(held_up)  # noqa: ASYNC251 - this process stands still: that is what is tested
    await front.settle(5.0)
    gateway.close()
    report = ledger.report()
    return {what: report[what] for what in ("taken", "served", "late")}


@pytest.mark.parametrize(
    ("after", "held_up", "late"),
    [
        (PATIENCE - 0.1, 0.0, 0),
        (PATIENCE - 0.1, PATIENCE + 0.2, 0),  # it lay there in time, unread
        (PATIENCE + 0.15, 0.0, 1),
        (PATIENCE + 0.15, PATIENCE - 0.1, 1),  # the stand-still ended before
        (None, 0.0, 1),
        (None, PATIENCE + 0.2, 1),
    ],
)
def test_an_answer_is_late_where_it_came_late_and_not_where_it_was_read_late(
    after: float | None, held_up: float, late: int
) -> None:
    """Guards all books of local fleets: a rig that stands still is no late gateway."""

    async def scenario() -> None:
        found = await asked_once(Answering(after), held_up)
        assert (found["taken"], found["late"]) == (1, late)

    run(scenario)


def test_a_request_is_told_the_time_that_is_left_when_it_is_written() -> None:
    """A connect that takes long is the client's own time: the gateway can't know of it."""

    async def scenario() -> None:
        gateway = Answering(0.0)
        front = Front([gateway.gate], Ledger({}), 1, retries=0)
        while not gateway.gate.up:
            await asyncio.sleep(0.01)
        connect = front.loop.create_connection

        async def slowly(*given: object, **named: object) -> object:
            await asyncio.sleep(0.1)
            return await connect(*given, **named)  # type: ignore[call-overload]

        front.loop = SlowLoop(front.loop, slowly)  # type: ignore[assignment]
        lookup = Class("lookup", False, 1.0, 1.0, PATIENCE)
        front.want(Wish(0.0, Customer(77, "none", 1.0, 1, 0), lookup, PATIENCE))
        while not gateway.told:
            await asyncio.sleep(0.002)
        assert gateway.told[0] <= round((PATIENCE - 0.1) * 1e3) + 1  # timers are due to the millisecond
        gateway.close()

    run(scenario)


class SlowLoop:
    """A loop whose connects are another function's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, connect: object) -> None:
        self._loop = loop
        self.create_connection = connect

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)

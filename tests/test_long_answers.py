"""Answers that take longer than a request may, while the gateway is told to end; real processes."""

import asyncio
import signal
import socket
import time
from pathlib import Path

import pytest
import uvloop

from tests.crowd import LimitedGateway, limited_gateway, lookup

DEADLINE = 0.8  # seconds; a stop ends requests some time after that
READ_SIZE = 16_384


async def read_value(sock: socket.socket, size: int, rate: float, received: int = 0) -> int:
    """Read a value at this rate; returns how many bytes of it have come when it is whole or has ended.

    `received`: bytes of it, with its head, that have been read before.
    """
    loop, began = asyncio.get_running_loop(), time.monotonic()
    head = len(b"$%d\r\n" % size)
    while received < head + size + 2:
        data = await loop.sock_recv(sock, min(READ_SIZE, head + size + 2 - received))
        if not data:
            break
        received += len(data)
        await asyncio.sleep(max(0.0, began + received / rate - time.monotonic()))
    return received - head - 2


async def connect_with_small_buffer(gateway: LimitedGateway) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_SIZE)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, gateway.address)
    return sock


@pytest.mark.parametrize(
    ("size", "client_rate", "server_rate"),
    [
        pytest.param(4 << 20, 400_000, 0, id="slow client"),
        pytest.param(1 << 20, 1e9, 150_000, id="slow server"),
    ],
)
def test_a_long_answer_is_not_cut_off_by_a_stop_while_it_moves(
    tmp_path: Path, size: int, client_rate: float, server_rate: float
) -> None:
    async def scenario() -> None:
        async with asyncio.timeout(60), limited_gateway(tmp_path, DEADLINE) as gateway:
            gateway.servers.size, gateway.servers.rate = size, server_rate
            with await connect_with_small_buffer(gateway) as sock:
                await asyncio.get_running_loop().sock_sendall(
                    sock, lookup("long", deadline=int(DEADLINE * 1e3))
                )
                reading = asyncio.create_task(read_value(sock, size, client_rate))
                while not gateway.servers.runs[b"long"]:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.5)  # the value is on its way
                gateway.processes[0].send_signal(signal.SIGTERM)
                assert await reading == size
            assert await asyncio.to_thread(gateway.processes[0].wait, 30) == 0

    uvloop.run(scenario())


def test_a_stop_keeps_answers_behind_a_value_that_is_still_being_read(tmp_path: Path) -> None:
    # Guards against a close that counts from when the system has an answer, not from when its client has it.
    async def scenario() -> None:
        async with asyncio.timeout(60), limited_gateway(tmp_path, DEADLINE) as gateway:
            gateway.servers.size = size = 4_000_000
            loop = asyncio.get_running_loop()
            with await connect_with_small_buffer(gateway) as sock:
                await loop.sock_sendall(sock, lookup("long", deadline=int(DEADLINE * 1e3)))
                assert await loop.sock_recv(sock, 1) == b"$"
                gateway.servers.size = 8
                reading = asyncio.create_task(read_value(sock, size, 1_500_000, received=1))
                await asyncio.sleep(0.3)
                await loop.sock_sendall(sock, lookup("behind", deadline=int(DEADLINE * 1e3)))
                while not gateway.servers.runs[b"behind"]:
                    await asyncio.sleep(0.005)
                gateway.processes[0].send_signal(signal.SIGTERM)
                for number in range(4):
                    await asyncio.sleep(0.4)
                    await loop.sock_sendall(sock, lookup(f"late-{number}", deadline=int(DEADLINE * 1e3)))
                assert await reading == size
                rest = b""
                while data := await loop.sock_recv(sock, READ_SIZE):
                    rest += data
                assert rest.startswith(b"$8\r\nvvvvvvvv\r\n")
                assert rest.count(b"-BUSY") + rest.count(b"$8\r\n") == 5
            assert await asyncio.to_thread(gateway.processes[0].wait, 30) == 0

    uvloop.run(scenario())


def test_a_stop_closes_each_connection_when_its_own_client_has_read_all(tmp_path: Path) -> None:
    # Guards against connections that nobody closes, and requests on them, while another client reads on.
    async def scenario() -> None:
        async with asyncio.timeout(60), limited_gateway(tmp_path, DEADLINE) as gateway:
            gateway.servers.size = size = 4_000_000
            loop = asyncio.get_running_loop()
            with (
                await connect_with_small_buffer(gateway) as slow,
                await connect_with_small_buffer(gateway) as other,
            ):
                for number, sock in enumerate((slow, other)):
                    command = lookup(f"long-{number}", deadline=int(DEADLINE * 1e3))
                    await loop.sock_sendall(sock, command)
                    assert await loop.sock_recv(sock, 1) == b"$"
                reading = asyncio.create_task(read_value(slow, size, 700_000, received=1))
                gateway.processes[0].send_signal(signal.SIGTERM)
                assert await read_value(other, size, 1_200_000, received=1) == size
                async with asyncio.timeout(1):  # the other one takes 2.4 s more
                    assert await loop.sock_recv(other, 1) == b""
                assert await reading == size
            assert await asyncio.to_thread(gateway.processes[0].wait, 30) == 0

    uvloop.run(scenario())


def test_a_stop_ends_though_the_client_of_a_long_answer_reads_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with asyncio.timeout(60), limited_gateway(tmp_path, DEADLINE) as gateway:
            gateway.servers.size = 4 << 20
            with await connect_with_small_buffer(gateway) as sock:
                await asyncio.get_running_loop().sock_sendall(
                    sock, lookup("long", deadline=int(DEADLINE * 1e3))
                )
                while not gateway.servers.runs[b"long"]:
                    await asyncio.sleep(0.005)
                gateway.processes[0].send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(gateway.processes[0].wait, 30) == 0

    uvloop.run(scenario())

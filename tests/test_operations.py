"""Operator calls: their effect on the lifecycle, the listener, and a drain of the real program."""

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lynxreel.daemon.lifecycle import Ask, Do, Life, ShutdownTimes, Started, State
from lynxreel.operations.calls import MAX_LINE, answer
from lynxreel.operations.desk import MAX_CALLERS, OperatorListener
from tests.net import LOCAL, run
from tests.test_process import GATEWAY, config, connect, free_port, start

Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]
TIMES = ShutdownTimes(accept=0.5, serve=1.0, answer=9.0, cut_off=10.0)


def ready() -> Life:
    life = Life(TIMES)
    life.handle(0.0, Started())
    return life


def test_drain_and_undrain_are_answered_with_the_new_state() -> None:
    life = ready()
    assert answer(life, 1.0, b"READY\r") == (b"+OK ready\r\n", [])
    assert answer(life, 1.0, b"DRAIN") == (b"+OK drained\r\n", [Do.SET_ASIDE, Do.TELL])
    assert answer(life, 1.1, b"DRAIN") == (b"+OK drained\r\n", [])
    assert answer(life, 1.2, b"READY") == (b"-ERR drained\r\n", [])
    assert answer(life, 1.3, b" undrain ") == (b"+OK ready\r\n", [Do.TAKE_BACK, Do.TELL])
    assert answer(life, 1.4, b"UNDRAIN") == (b"+OK ready\r\n", [])


def test_an_instance_without_servers_is_not_ready_though_it_takes_clients() -> None:
    life = ready()
    assert answer(life, 1.0, b"READY", "no servers") == (b"-ERR no servers\r\n", [])
    assert answer(life, 1.0, b"DRAIN", "no servers") == (b"+OK drained\r\n", [Do.SET_ASIDE, Do.TELL])
    assert answer(life, 1.1, b"READY", "no servers") == (b"-ERR drained\r\n", [])


def test_an_instance_is_not_ready_while_starting_and_not_undrained_while_stopping() -> None:
    life = Life(TIMES)
    assert answer(life, 0.0, b"READY") == (b"-ERR starting\r\n", [])
    life.handle(0.1, Started())
    life.handle(1.0, Ask.STOP)
    assert answer(life, 1.1, b"READY") == (b"-ERR leaving\r\n", [])
    assert answer(life, 1.1, b"DRAIN") == (b"+OK leaving\r\n", [])
    assert answer(life, 1.1, b"UNDRAIN") == (b"-ERR leaving\r\n", [])
    assert life.state is State.LEAVING


@pytest.mark.parametrize("line", [b"", b"DRAIN now", b"REDAY", b"\0\xff" * 100, b"READY READY"])
def test_an_unknown_call_changes_nothing(line: bytes) -> None:
    life = ready()
    reply, actions = answer(life, 1.0, line)
    assert (reply[:5], actions, life.state) == (b"-ERR ", [], State.READY)


def with_listener(scenario: Callable[[Callable[[], Awaitable[Ends]], list[bytes]], Awaitable[None]]) -> None:
    async def main() -> None:
        received: list[bytes] = []

        def reply(line: bytes) -> bytes:
            received.append(line)
            return b"+OK %b\r\n" % line

        desk = OperatorListener(reply, asyncio.get_running_loop())
        _, port = await desk.open((LOCAL, 0))
        await scenario(lambda: asyncio.open_connection(LOCAL, port), received)
        desk.close()

    run(main)


def test_a_line_in_pieces_is_one_call_and_data_after_it_is_ignored() -> None:
    async def scenario(call: Callable[[], Awaitable[Ends]], received: list[bytes]) -> None:
        reader, writer = await call()
        for byte in b"REA":
            writer.write(bytes([byte]))
            await asyncio.sleep(0.001)
        writer.write(b"DY\nDRAIN\n")
        assert await reader.read() == b"+OK READY\r\n"
        assert received == [b"READY"]

    with_listener(scenario)


def test_silent_callers_and_incomplete_calls_delay_no_other_caller() -> None:
    async def scenario(call: Callable[[], Awaitable[Ends]], received: list[bytes]) -> None:
        open_connections = [await call() for _ in range(3 * MAX_CALLERS)]
        for _, writer in open_connections[::2]:
            writer.write(b"REA")
        reader, writer = await call()
        writer.write(b"READY\n")
        assert await reader.read() == b"+OK READY\r\n"
        with contextlib.suppress(ConnectionError):  # the oldest was closed to make room
            assert await open_connections[0][0].read() == b""

    with_listener(scenario)


def test_an_incomplete_call_and_an_endless_line_get_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lynxreel.operations.desk.LINE_TIMEOUT", 0.05)

    async def scenario(call: Callable[[], Awaitable[Ends]], received: list[bytes]) -> None:
        half, endless, silent = await call(), await call(), await call()
        half[1].write(b"READY")
        half[1].write_eof()
        assert await half[0].read() == b"-ERR no call\r\n"
        endless[1].write(b"A" * (MAX_LINE + 1))
        assert (await endless[0].readline()).startswith(b"-ERR ")
        assert await silent[0].read() == b"-ERR no call\r\n"
        assert not received

    with_listener(scenario)


def ask(port: int, line: bytes) -> bytes:
    with socket.create_connection((GATEWAY, port), timeout=30) as caller:
        caller.sendall(line + b"\n")
        return caller.makefile("rb").readline()


@pytest.mark.parametrize("by", ["configuration", "environment"])
def test_the_platform_program_drains_undrains_and_stops(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by: str
) -> None:
    any_port = ("127.0.0.1", 0)
    with socket.create_server(any_port) as discovery, socket.create_server(any_port) as counter:
        listen, operator = free_port(), free_port()
        settings = config(discovery.getsockname()[1], counter.getsockname()[1], listen)
        if by == "configuration":
            settings["operator"] = f"{GATEWAY}:{operator}"
        else:
            monkeypatch.setenv("EDGE_OPERATOR", f"{GATEWAY}:{operator}")
        with start(tmp_path, json.dumps(settings)) as process:
            watch, _ = discovery.accept()
            with watch, connect(listen, process) as client:
                while (reply := ask(operator, b"READY")) == b"-ERR starting\r\n":
                    continue  # it listens already, and is ready shortly after
                assert reply == b"+OK ready\r\n"
                assert ask(operator, b"DRAIN") == b"+OK drained\r\n"
                assert ask(operator, b"READY") == b"-ERR drained\r\n"
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert client.makefile("rb").read() == b"-DRAINING no new work\r\n"
                with connect(listen, process) as front:  # it still listens, and refuses
                    front.sendall(b"*1\r\n$4\r\nPING\r\n")
                    assert front.recv(64) == b"-DRAINING no new work\r\n"
                assert ask(operator, b"UNDRAIN") == b"+OK ready\r\n"
                with connect(listen, process) as front:
                    front.sendall(b"*1\r\n$4\r\nPING\r\n")
                    assert front.recv(64) == b"+PONG\r\n"
                process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=30) == 0


def test_calls_are_answered_while_many_connections_exhaust_the_descriptors(tmp_path: Path) -> None:
    """256 descriptors; 600 connections that send nothing or half a command, and silent operator callers."""
    any_port = ("127.0.0.1", 0)
    with contextlib.ExitStack() as stack:
        discovery, counter = (stack.enter_context(socket.create_server(any_port)) for _ in range(2))
        listen, operator = free_port(), free_port()
        settings = config(discovery.getsockname()[1], counter.getsockname()[1], listen)
        settings["operator"], settings["limits"]["sockets"] = f"{GATEWAY}:{operator}", 256
        process = stack.enter_context(start(tmp_path, json.dumps(settings)))
        stack.callback(process.kill)
        stack.enter_context(discovery.accept()[0])
        stack.enter_context(connect(listen, process))
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (256, 256))
        for number in range(600):
            crowd = stack.enter_context(connect(listen, process))
            if number % 2:
                crowd.sendall(b"*4\r\n$8\r\nCALL.")
            if number % 20 == 0:
                stack.enter_context(socket.create_connection((GATEWAY, operator), timeout=30))
            if number % 50 == 0:
                began = time.monotonic()
                assert ask(operator, b"READY").startswith((b"+OK", b"-ERR starting"))
                assert time.monotonic() - began < 1.0  # the limit that operators set
        assert ask(operator, b"DRAIN") == b"+OK drained\r\n"
        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 256
        assert process.poll() is None


def test_without_an_operator_address_only_the_client_port_is_open(tmp_path: Path) -> None:
    any_port = ("127.0.0.1", 0)
    with socket.create_server(any_port) as discovery, socket.create_server(any_port) as counter:
        listen = free_port()
        settings = config(discovery.getsockname()[1], counter.getsockname()[1], listen)
        with start(tmp_path, json.dumps(settings)) as process:
            watch, _ = discovery.accept()
            with watch, connect(listen, process):
                inodes = set()
                for entry in os.scandir(f"/proc/{process.pid}/fd"):
                    with contextlib.suppress(FileNotFoundError):  # closed meanwhile
                        target = os.readlink(entry.path)
                        if target.startswith("socket:["):
                            inodes.add(target[8:-1])
                table = Path(f"/proc/{process.pid}/net/tcp").read_text().splitlines()[1:]
                lines = [line.split() for line in table]
                listening = [line[1] for line in lines if line[3] == "0A" and line[9] in inodes]
                assert [int(where.split(":")[1], 16) for where in listening] == [listen]
            process.kill()


def test_answers_match_the_state_after_any_sequence_of_calls() -> None:
    rng = random.Random(7)
    for _ in range(200):
        life, drained = ready(), False
        for now in range(1, 20):
            command = rng.choice([b"DRAIN", b"UNDRAIN", b"READY"])
            reply, actions = answer(life, float(now), command)
            before, drained = drained, command == b"DRAIN" or (drained and command != b"UNDRAIN")
            assert reply.startswith(b"-ERR" if command == b"READY" and drained else b"+OK")
            assert (Do.SET_ASIDE in actions) is (drained and not before)
            assert (Do.TAKE_BACK in actions) is (before and not drained)

"""A new version beside the running one, on a listening socket that the platform holds; as real processes."""

import asyncio
import json
import os
import signal
import socket
import threading
from pathlib import Path

import pytest

import lynxreel.__main__ as program
from lynxreel.fronts.listeners import duplicate, inherited
from lynxreel.node import Node
from tests.net import LOCAL
from tests.test_operations import ask
from tests.test_process import GATEWAY, Ended, config, free_port, start

PING = b"*1\r\n$4\r\nPING\r\n"


class Pings:
    """A client that connects, pings and closes, again and again, and counts what went wrong."""

    def __init__(self, port: int) -> None:
        self.fine, self.wrong, self._port = 0, list[str](), port
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while not self._over.is_set():
            try:
                with socket.create_connection((GATEWAY, self._port), timeout=30) as own:
                    own.sendall(PING)
                    answer = own.recv(64)
            except OSError as wrong:
                answer = repr(wrong).encode()
            if answer == b"+PONG\r\n":
                self.fine += 1
            else:
                self.wrong.append(repr(answer))

    def more(self, count: int) -> None:
        """Until so many more have been answered."""
        until = self.fine + count
        while self.fine < until and not self.wrong:
            self._over.wait(0.001)

    def end(self) -> None:
        self._over.set()
        self._thread.join()


def running(process: Ended, operator: int) -> None:
    """Wait for its yes."""
    while True:
        assert process.poll() is None, process.communicate()
        try:
            if ask(operator, b"READY") == b"+OK ready\r\n":
                return
        except ConnectionRefusedError:
            continue


def test_no_connect_fails_and_no_answer_is_lost_while_versions_follow_each_other(tmp_path: Path) -> None:
    any_port = ("127.0.0.1", 0)
    with (
        socket.create_server(any_port) as discovery,
        socket.create_server(any_port) as counter,
        socket.create_server((GATEWAY, 0)) as platforms,
    ):
        listen = platforms.getsockname()[1]
        given = config(discovery.getsockname()[1], counter.getsockname()[1], listen)

        def run() -> tuple[Ended, int]:
            operator = free_port()
            process = start(tmp_path, json.dumps({**given, "operator": f"{GATEWAY}:{operator}"}), platforms)
            running(process, operator)
            return process, operator

        old, operator = run()
        pings = Pings(listen)
        try:
            for _ in range(3):
                pings.more(20)
                idle = socket.create_connection((GATEWAY, listen), timeout=30)
                new, beside = run()
                assert ask(operator, b"READY") == b"+OK ready\r\n"  # both serve
                old.send_signal(signal.SIGTERM)
                assert old.wait(30) == 0
                idle.close()
                old, operator = new, beside
            pings.more(20)
        finally:
            pings.end()
            old.kill()
            old.wait()
        assert pings.wrong == []
        with socket.create_connection((GATEWAY, listen), timeout=30) as late:  # nobody accepts, it waits
            late.sendall(PING)
            new, _ = run()
            assert late.recv(64) == b"+PONG\r\n"
            new.kill()
            new.wait()


def test_two_processes_of_a_gateway_hold_its_share_of_ceilings_in_turn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    held: list[tuple[bool, str]] = []
    own: program.Program

    def hold(node: Node, share: bool) -> None:
        held.append((share, own.life.state.value if hasattr(own, "node") else "made"))

    monkeypatch.setattr(Node, "hold", hold)

    async def scenario() -> None:
        nonlocal own
        with socket.create_server((LOCAL, 0)) as platforms, socket.create_server((LOCAL, 0)) as silent:
            monkeypatch.setenv("EDGE_LISTEN_FD", str(os.dup(platforms.fileno())))
            port = silent.getsockname()[1]
            given = config(port, port, platforms.getsockname()[1])
            own = program.Program(given, asyncio.get_running_loop())
            running = asyncio.create_task(own.run())
            while not own.life.ready:
                await asyncio.sleep(0.005)
            assert held == [(False, "made"), (True, "starting")]
            os.kill(os.getpid(), signal.SIGTERM)
            await running

    asyncio.run(asyncio.wait_for(scenario(), 20))
    assert held[2:] == [(False, "draining")]  # at once: the next one is ready


@pytest.mark.parametrize("told", ["x", "-1", "99999"])
def test_a_descriptor_that_is_no_listener_is_told(told: str) -> None:
    with pytest.raises(ValueError):
        inherited("FD", {"FD": told})


def test_without_the_variable_nothing_is_inherited() -> None:
    assert inherited("FD", {}) is None


@pytest.mark.parametrize(
    ("more", "variables", "named"),
    [
        ({"operator": "127.0.0.1:x"}, {}, b"operator: no address: '127.0.0.1:x'"),
        ({}, {"EDGE_OPERATOR": "here"}, b"operator: no address: 'here'"),
        ({}, {"EDGE_LISTEN_FD": "77"}, b"EDGE_LISTEN_FD: descriptor 77 is no socket"),
    ],
)
def test_a_start_that_can_not_be_names_what_is_wrong(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    more: dict[str, str],
    variables: dict[str, str],
    named: bytes,
) -> None:
    for name, value in variables.items():
        monkeypatch.setenv(name, value)
    with start(tmp_path, json.dumps({**config(1, 1, 1), **more})) as process:
        _, err = process.communicate(timeout=60)
    assert process.returncode == 2
    assert named in err
    assert err.count(b"\n") == 1


def test_a_second_descriptor_of_a_shared_listener_leaves_it_as_the_others_have_it() -> None:
    # Guards whoever accepts there already: in blocking mode it would stand still before an empty queue.
    with socket.create_server((LOCAL, 0)) as own:
        own.setblocking(False)
        handed_in = socket.socket(fileno=os.dup(own.fileno()))  # as another process has it
        with handed_in, duplicate(handed_in) as second:
            assert not os.get_blocking(own.fileno())
            assert second.getsockname() == own.getsockname()

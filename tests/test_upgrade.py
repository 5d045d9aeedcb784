"""A new version beside the running one, on a listener that the platform holds; with real processes."""

import asyncio
import json
import os
import signal
import socket
import threading
from pathlib import Path

import pytest

import lynxreel.__main__ as program
from lynxreel.fronts.listeners import duplicate_listener, inherited_listener
from lynxreel.node import Node
from tests.net import LOCAL
from tests.test_operations import ask
from tests.test_process import GATEWAY, Ended, config, free_port, start

PING = b"*1\r\n$4\r\nPING\r\n"


class PingClient:
    """A client that connects, pings and closes, again and again, and records failures."""

    def __init__(self, port: int) -> None:
        self.fine, self.wrong, self._port = 0, list[str](), port
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while not self._over.is_set():
            try:
                with socket.create_connection((GATEWAY, self._port), timeout=30) as sock:
                    sock.sendall(PING)
                    answer = sock.recv(64)
            except OSError as error:
                answer = repr(error).encode()
            if answer == b"+PONG\r\n":
                self.fine += 1
            else:
                self.wrong.append(repr(answer))

    def more(self, count: int) -> None:
        """Wait until so many more have been answered."""
        target = self.fine + count
        while self.fine < target and not self.wrong:
            self._over.wait(0.001)

    def end(self) -> None:
        self._over.set()
        self._thread.join()


def wait_until_ready(process: Ended, operator: int) -> None:
    """Wait until the process reports that it is ready."""
    while True:
        assert process.poll() is None, process.communicate()
        try:
            if ask(operator, b"READY") == b"+OK ready\r\n":
                return
        except ConnectionRefusedError:
            continue


def test_no_connect_fails_and_no_answer_is_lost_during_successive_upgrades(tmp_path: Path) -> None:
    any_port = ("127.0.0.1", 0)
    with (
        socket.create_server(any_port) as discovery,
        socket.create_server(any_port) as counter,
        socket.create_server((GATEWAY, 0)) as platform_listener,
    ):
        listen = platform_listener.getsockname()[1]
        base_config = config(discovery.getsockname()[1], counter.getsockname()[1], listen)

        def run() -> tuple[Ended, int]:
            operator = free_port()
            process = start(
                tmp_path, json.dumps({**base_config, "operator": f"{GATEWAY}:{operator}"}), platform_listener
            )
            wait_until_ready(process, operator)
            return process, operator

        old, operator = run()
        pings = PingClient(listen)
        try:
            for _ in range(3):
                pings.more(20)
                idle = socket.create_connection((GATEWAY, listen), timeout=30)
                new, new_operator = run()
                assert ask(operator, b"READY") == b"+OK ready\r\n"  # both serve
                old.send_signal(signal.SIGTERM)
                assert old.wait(30) == 0
                idle.close()
                old, operator = new, new_operator
            pings.more(20)
        finally:
            pings.end()
            old.kill()
            old.wait()
        assert pings.wrong == []
        with socket.create_connection((GATEWAY, listen), timeout=30) as late:  # nobody accepts it: it waits
            late.sendall(PING)
            new, _ = run()
            assert late.recv(64) == b"+PONG\r\n"
            new.kill()
            new.wait()


def test_two_processes_of_a_gateway_hold_its_share_of_ceilings_in_turn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    shares: list[tuple[bool, str]] = []
    gateway: program.Program

    def hold(node: Node, share: bool) -> None:
        shares.append((share, gateway.life.state.value if hasattr(gateway, "node") else "made"))

    monkeypatch.setattr(Node, "hold", hold)

    async def scenario() -> None:
        nonlocal gateway
        with (
            socket.create_server((LOCAL, 0)) as platform_listener,
            socket.create_server((LOCAL, 0)) as silent,
        ):
            monkeypatch.setenv("EDGE_LISTEN_FD", str(os.dup(platform_listener.fileno())))
            port = silent.getsockname()[1]
            base_config = config(port, port, platform_listener.getsockname()[1])
            gateway = program.Program(base_config, asyncio.get_running_loop())
            running = asyncio.create_task(gateway.run())
            while not gateway.life.ready:
                await asyncio.sleep(0.005)
            assert shares == [(False, "made"), (True, "starting")]
            os.kill(os.getpid(), signal.SIGTERM)
            await running

    asyncio.run(asyncio.wait_for(scenario(), 20))
    assert shares[2:] == [(False, "draining")]  # immediately, as the next process is ready


@pytest.mark.parametrize("value", ["x", "-1", "99999"])
def test_a_descriptor_that_is_no_listener_is_reported(value: str) -> None:
    with pytest.raises(ValueError):
        inherited_listener("FD", {"FD": value})


def test_without_the_variable_nothing_is_inherited() -> None:
    assert inherited_listener("FD", {}) is None


@pytest.mark.parametrize(
    ("more", "variables", "message"),
    [
        ({"operator": "127.0.0.1:x"}, {}, b"operator: no address: '127.0.0.1:x'"),
        ({}, {"EDGE_OPERATOR": "here"}, b"operator: no address: 'here'"),
        ({}, {"EDGE_LISTEN_FD": "77"}, b"EDGE_LISTEN_FD: descriptor 77 is no socket"),
    ],
)
def test_a_failed_start_names_the_reason(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    more: dict[str, str],
    variables: dict[str, str],
    message: bytes,
) -> None:
    for name, value in variables.items():
        monkeypatch.setenv(name, value)
    with start(tmp_path, json.dumps({**config(1, 1, 1), **more})) as process:
        _, err = process.communicate(timeout=60)
    assert process.returncode == 2
    assert message in err
    assert err.count(b"\n") == 1


def test_a_second_descriptor_of_a_shared_listener_does_not_change_its_blocking_mode() -> None:
    # In blocking mode, a process that accepts there already would block on an empty queue.
    with socket.create_server((LOCAL, 0)) as first:
        first.setblocking(False)
        handed_in = socket.socket(fileno=os.dup(first.fileno()))  # as another process has it
        with handed_in, duplicate_listener(handed_in) as second:
            assert not os.get_blocking(first.fileno())
            assert second.getsockname() == first.getsockname()

"""Handover between supervisors as real processes: under load, and to successors that fail at each step."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from lynxreel.local.deployment import Deployment, Gateway
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import Caller, log_of, run, told
from tests.test_workers import alive, clean, group, in_work, pids, ran_twice


async def start_successor(
    deployment: Deployment, config: Path | None = None, env: dict[str, str] | None = None, number: int = 0
) -> asyncio.subprocess.Process:
    """Starts a new supervisor that takes over from a gateway's."""
    gateway = deployment.gateways[number]
    arguments = ["-m", "lynxreel.cli.main", "serve", "--config", str(config or gateway.config), "--take-over"]
    environment = {**os.environ, **(env or {})}
    with open(deployment.folder / f"g{number}.log", "ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=environment,
        )


async def hand_over(deployment: Deployment, number: int = 0) -> None:
    """Performs a handover that works: the old supervisor ends, the new one becomes the gateway's."""
    gateway = deployment.gateways[number]
    process = await start_successor(deployment, number=number)
    await told(gateway, state="ready", pid=process.pid)
    assert await gateway.process.wait() == 0
    gateway.process = process


async def assert_serves(gateway: Gateway, number: str) -> None:
    """Checks that a new connection is accepted and a request on it served."""
    caller = await Caller.to(gateway)
    caller.send(number, customer=sum(number.encode()))
    assert await caller.answer() == b"done " + number.encode()
    caller.writer.close()


class ScriptedSupervisor:
    """A new supervisor that does only what the test makes it do."""

    def __init__(self, gateway: Gateway) -> None:
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._socket.connect(str(gateway.place.handover))
        self._socket.setblocking(False)
        self.descriptors: list[int] = []

    def send(self, **message: object) -> None:
        self._socket.send(json.dumps(message).encode())

    async def receive(self) -> dict[str, Any]:
        """Returns the next message; an empty one at the end of the connection."""
        while True:
            try:
                data, descriptors, _, _ = socket.recv_fds(self._socket, 65_536, 64)
            except BlockingIOError:
                await asyncio.sleep(0.005)
                continue
            except ConnectionError:
                return {}
            self.descriptors += descriptors
            return dict(json.loads(data)) if data else {}

    def end(self) -> None:
        self._socket.close()
        for descriptor in self.descriptors:
            os.close(descriptor)


# --- handovers that succeed --------------------------------------------------------------------------------


def test_handovers_under_load_refuse_no_connect_and_lose_nothing(tmp_path: Path) -> None:
    """Three handovers here; a hundred in bench/handover.py."""

    async def scenario() -> None:
        async with group(tmp_path, 2, rate=100.0) as deployment:
            play = asyncio.create_task(deployment.play(1e9))
            for _ in range(3):
                await hand_over(deployment)
            play.cancel()
            await deployment.front.settle(5.0)
            clean(deployment)
            assert deployment.front.counts["unreachable"] == 0
            assert deployment.front.counts["unsent"] == 0, "nobody was told that the gateway leaves"

    run(scenario)


def test_an_open_request_of_the_old_supervisor_is_answered_by_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            deployment.box_faults.on(Fault(Kind.SLOW, delay=1.0))
            caller = await Caller.to(gateway)
            caller.send("r1", "port-commit", patience=5_000)
            await in_work(deployment, 1)
            deployment.box_faults.off()
            before = pids(gateway)
            process = await start_successor(deployment)
            await told(gateway, state="ready", pid=process.pid)
            assert not set(before) & set(pids(gateway))
            await assert_serves(gateway, "r2")
            assert await caller.answer() == b"done r1"
            assert await caller.answer() == b""
            assert await gateway.process.wait() == 0
            gateway.process = process
            assert not ran_twice(deployment)

    run(scenario)


def test_without_a_running_supervisor_it_starts_as_usual(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            deployment.do("stop", (0,))
            await gateway.process.wait()
            gateway.process = await start_successor(deployment)
            await told(gateway, state="ready", pid=gateway.process.pid)
            await assert_serves(gateway, "r1")

    run(scenario)


def test_a_handover_applies_other_addresses_and_another_number_of_workers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            host, port = gateway.gate.address
            with socket.create_server((host, 0)) as free:
                more = free.getsockname()[1]
            text = gateway.config.read_text().replace("workers = 2", "workers = 3")
            listen = f'listen = ["{host}:{port}"'
            assert listen in text
            gateway.config.write_text(text.replace(listen, f'{listen}, "{host}:{more}"'))
            await hand_over(deployment)
            assert len(pids(gateway)) == 3
            await assert_serves(gateway, "r1")
            gateway.gate.address = (host, more)
            await assert_serves(gateway, "r2")

    run(scenario)


def test_a_handover_gives_a_customer_no_second_burst_of_its_ceiling(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 2, rate=1.0) as deployment:
            (gateway,) = deployment.gateways
            loop = asyncio.get_running_loop()
            began, served, number, ended = loop.time(), 0, 0, False

            async def send_continuously() -> None:
                nonlocal served, number
                caller = await Caller.to(gateway)
                while not ended:
                    number += 1
                    name = f"x{number}"
                    caller.command("CALL.GET", f"{7:016x}", name, "c=lookup,t=carrier,d=1500,units=1")
                    answer = await caller.answer()
                    served += answer.startswith(b"done")
                    if not answer:
                        caller = await Caller.to(gateway)
                    await asyncio.sleep(0.002)

            tasks = [asyncio.create_task(send_continuously()) for _ in range(4)]
            for _ in range(2):
                await hand_over(deployment)
            ended = True
            await asyncio.gather(*tasks)
            quota = deployment.plans["carrier"]
            duration = loop.time() - began
            assert 0 < served <= quota.ceiling_burst + quota.ceiling_rate * duration

    run(scenario)


# --- handovers that fail -----------------------------------------------------------------------------------


@pytest.mark.parametrize("steps", range(4))
def test_a_successor_that_ends_at_any_step_leaves_the_old_supervisor_unchanged(
    tmp_path: Path, steps: int
) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            before = pids(gateway)
            caller = await Caller.to(gateway)
            assert await caller.ping() == b"+PONG"
            new = ScriptedSupervisor(gateway)
            if steps > 0:
                new.send(hello="1")
                assert "offer" in await new.receive()
                assert len(new.descriptors) == 2, "the lock and one listener"
            if steps > 1:
                new.send(warm=True)
            if steps > 2:
                assert "yours" in await new.receive()
            new.end()
            if steps > 1:
                while "has ended before it served" not in log_of(deployment):
                    await asyncio.sleep(0.005)
            await assert_serves(gateway, "r1")
            assert await caller.ping() == b"+PONG", "no connection was ended"
            assert pids(gateway) == before
            await hand_over(deployment)  # the next handover works

    run(scenario)


def test_a_successor_that_hangs_with_the_listeners_is_killed_and_the_old_supervisor_continues(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with group(tmp_path, more="\n[supervisor]\nmoment_ms = 300\n") as deployment:
            (gateway,) = deployment.gateways
            program = (
                "import json, socket, sys, time\n"
                "own = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)\n"
                "own.connect(sys.argv[1])\n"
                "for message in ({'hello': '1'}, {'warm': True}):\n"
                "    own.send(json.dumps(message).encode())\n"
                "    print(socket.recv_fds(own, 65536, 64)[0].decode(), flush=True)\n"
                "time.sleep(1000)\n"
            )
            hanging = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program, str(gateway.place.handover), stdout=subprocess.PIPE
            )
            assert hanging.stdout is not None
            assert b"offer" in await hanging.stdout.readline()
            assert b"yours" in await hanging.stdout.readline()
            waiting = await Caller.to(gateway)  # nobody accepts it for a moment
            waiting.send("r1")
            assert await hanging.wait() == -signal.SIGKILL
            assert await waiting.answer() == b"done r1"

    run(scenario)


def test_a_successor_that_is_not_warm_in_time_is_given_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, more="\n[supervisor]\nhandover_ms = 300\n") as deployment:
            (gateway,) = deployment.gateways
            new = ScriptedSupervisor(gateway)
            new.send(hello="1")
            assert "offer" in await new.receive()
            assert "not warm within" in (await new.receive())["bye"]
            new.end()
            await assert_serves(gateway, "r1")

    run(scenario)


def broken_file(text: str) -> str:
    return text.replace("aim_ms = 800", "aim_ms = 0")


def silent_discovery(text: str) -> str:
    return text.replace('discovery = "', 'discovery = "127.0.0.1:9" #')


@pytest.mark.parametrize(("edit", "code"), [(broken_file, 78), (silent_discovery, 70)])
def test_a_successor_that_cannot_get_ready_ends_and_the_old_supervisor_continues(
    tmp_path: Path, edit: Callable[[str], str], code: int
) -> None:
    async def scenario() -> None:
        async with group(tmp_path, more="\n[supervisor]\nhandover_ms = 1500\n") as deployment:
            (gateway,) = deployment.gateways
            before = pids(gateway)
            other = tmp_path / "new.toml"
            other.write_text(edit(gateway.config.read_text()))
            process = await start_successor(deployment, config=other)
            assert await process.wait() == code
            assert pids(gateway) == before and gateway.code is None
            await assert_serves(gateway, "r1")

    run(scenario)


def test_a_successor_whose_workers_crash_ends_and_the_old_supervisor_continues(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            folder = tmp_path / "broken"
            folder.mkdir()
            # Python loads this at startup; only the workers of the new version die of it.
            site = folder / "sitecustomize.py"
            site.write_text("import os, sys\nif '--worker' in sys.orig_argv: os._exit(3)\n")
            process = await start_successor(deployment, env={"PYTHONPATH": str(folder)})
            assert await process.wait() == 70
            assert "ended with 3 before it served" in log_of(deployment)
            await assert_serves(gateway, "r1")

    run(scenario)


def test_one_of_two_simultaneous_successors_is_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            both = await asyncio.gather(start_successor(deployment), start_successor(deployment))
            old = gateway.process
            assert await old.wait() == 0
            refused = [process for process in both if process.returncode is not None]
            while not refused:
                await asyncio.sleep(0.01)
                refused = [process for process in both if process.returncode is not None]
            (loser,) = refused
            assert loser.returncode == 75
            (gateway.process,) = (process for process in both if process is not loser)
            await told(gateway, state="ready", pid=gateway.process.pid)
            await assert_serves(gateway, "r1")

    run(scenario)


def test_a_reload_during_a_handover_reaches_the_supervisor_that_serves_afterwards(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            process = await start_successor(deployment)
            while "worker" not in "".join(child_command_lines(process.pid)):
                await asyncio.sleep(0.005)  # its workers may have read the file by now
            text = gateway.config.read_text()
            assert "rate = 2.5" in text
            gateway.config.write_text(text.replace("rate = 2.5", "rate = 2.6"))
            deployment.do("reload", (0,))
            await told(gateway, pid=process.pid, reloads=1, reload_problems=[])
            assert await gateway.process.wait() == 0
            gateway.process = process
            await assert_serves(gateway, "r1")

    run(scenario)


def child_command_lines(pid: int) -> list[str]:
    """Returns the command lines of a process's children."""
    found = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        for child in (task / "children").read_text().split():
            with contextlib.suppress(OSError):
                found.append(Path(f"/proc/{child}/cmdline").read_text())
    return found


USE_UP_DESCRIPTORS = """
import os, resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, (128, 128))
while (last := os.open(os.devnull, os.O_RDONLY)) < 127 - int(sys.argv[1]):
    os.set_inheritable(last, True)
os.execv(sys.executable, [sys.executable, *sys.argv[2:]])
"""


def test_a_successor_that_runs_out_of_descriptors_ends_at_any_step(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            text = gateway.config.read_text()
            gateway.config.write_text(text.replace("sockets = 1024", "sockets = 128"))
            # Descriptors left: for the loop, the channel, the listeners, the first worker, the second.
            for descriptors in (8, 11, 13, 16, 22):
                arguments = [
                    str(descriptors),
                    "-m",
                    "lynxreel.cli.main",
                    "serve",
                    "--config",
                    str(gateway.config),
                ]
                with open(tmp_path / "g0.log", "ab") as log:
                    process = await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-c",
                        USE_UP_DESCRIPTORS,
                        *arguments,
                        "--take-over",
                        stdout=log,
                        stderr=log,
                    )
                assert await process.wait() == 70, descriptors
                assert gateway.code is None
                await assert_serves(gateway, f"r{descriptors}")
            assert "the listeners did not all arrive" in log_of(deployment)
            assert "could not be started (Too many open files)" in log_of(deployment)
            await hand_over(deployment)

    run(scenario)


def test_a_stop_during_a_handover_ends_both_supervisors(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            new = ScriptedSupervisor(gateway)
            new.send(hello="1")
            assert "offer" in await new.receive()
            deployment.do("stop", (0,))
            assert "asked to end" in (await new.receive())["bye"]
            new.end()
            assert await gateway.process.wait() == 0

    run(scenario)


def test_if_the_old_supervisor_is_killed_during_a_handover_the_new_one_serves(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            orphans = pids(gateway)
            process = await start_successor(deployment)
            while not child_command_lines(process.pid):
                await asyncio.sleep(0.002)
            gateway.process.kill()
            await gateway.process.wait()
            gateway.process = process
            await told(gateway, state="ready", pid=process.pid)
            await assert_serves(gateway, "r1")
            while any(alive(pid) for pid in orphans):
                await asyncio.sleep(0.01)

    run(scenario)

"""Handover between supervisors, as processes: under load, and to new ones that fail at each step."""

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


async def another(
    deployment: Deployment, config: Path | None = None, env: dict[str, str] | None = None, number: int = 0
) -> asyncio.subprocess.Process:
    """A new supervisor that takes over from a gateway's."""
    gateway = deployment.gateways[number]
    words = ["-m", "lynxreel.cli.main", "serve", "--config", str(config or gateway.config), "--take-over"]
    whole = {**os.environ, **(env or {})}
    with open(deployment.folder / f"g{number}.log", "ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable, *words, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=whole
        )


async def succeed(deployment: Deployment, number: int = 0) -> None:
    """A handover that works: the old one has ended, the new one is the gateway."""
    gateway = deployment.gateways[number]
    process = await another(deployment, number=number)
    await told(gateway, state="ready", pid=process.pid)
    assert await gateway.process.wait() == 0
    gateway.process = process


async def serves(gateway: Gateway, number: str) -> None:
    """A new connection is taken, and a request on it served."""
    caller = await Caller.to(gateway)
    caller.send(number, customer=sum(number.encode()))
    assert await caller.answer() == b"done " + number.encode()
    caller.writer.close()


class Scripted:
    """A new supervisor by hand, which does only what the test makes it do."""

    def __init__(self, gateway: Gateway) -> None:
        self._own = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._own.connect(str(gateway.place.handover))
        self._own.setblocking(False)
        self.descriptors: list[int] = []

    def say(self, **message: object) -> None:
        self._own.send(json.dumps(message).encode())

    async def hear(self) -> dict[str, Any]:
        """The next message; nothing at the end."""
        while True:
            try:
                data, descriptors, _, _ = socket.recv_fds(self._own, 65_536, 64)
            except BlockingIOError:
                await asyncio.sleep(0.005)
                continue
            except ConnectionError:
                return {}
            self.descriptors += descriptors
            return dict(json.loads(data)) if data else {}

    def end(self) -> None:
        self._own.close()
        for descriptor in self.descriptors:
            os.close(descriptor)


# --- that work ---------------------------------------------------------------------------------------------


def test_handovers_under_load_refuse_no_connect_and_lose_nothing(tmp_path: Path) -> None:
    """Three here; a hundred in bench/handover.py."""

    async def scenario() -> None:
        async with group(tmp_path, 2, rate=100.0) as deployment:
            play = asyncio.create_task(deployment.play(1e9))
            for _ in range(3):
                await succeed(deployment)
            play.cancel()
            await deployment.front.settle(5.0)
            clean(deployment)
            assert deployment.front.counts["unreachable"] == 0
            assert deployment.front.counts["unsent"] == 0, "nobody was told that the gateway leaves"

    run(scenario)


def test_a_request_that_the_old_one_holds_is_answered_by_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            deployment.box_faults.on(Fault(Kind.SLOW, delay=1.0))
            held = await Caller.to(gateway)
            held.send("r1", "port-commit", patience=5_000)
            await in_work(deployment, 1)
            deployment.box_faults.off()
            before = pids(gateway)
            process = await another(deployment)
            await told(gateway, state="ready", pid=process.pid)
            assert not set(before) & set(pids(gateway))
            await serves(gateway, "r2")
            assert await held.answer() == b"done r1"
            assert await held.answer() == b""
            assert await gateway.process.wait() == 0
            gateway.process = process
            assert not ran_twice(deployment)

    run(scenario)


def test_where_none_runs_it_starts_as_usual(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            deployment.do("stop", (0,))
            await gateway.process.wait()
            gateway.process = await another(deployment)
            await told(gateway, state="ready", pid=gateway.process.pid)
            await serves(gateway, "r1")

    run(scenario)


def test_other_addresses_and_another_number_of_workers_come_with_a_handover(tmp_path: Path) -> None:
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
            await succeed(deployment)
            assert len(pids(gateway)) == 3
            await serves(gateway, "r1")
            gateway.gate.address = (host, more)
            await serves(gateway, "r2")

    run(scenario)


def test_a_customer_gets_no_second_burst_of_its_ceiling_from_a_handover(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 2, rate=1.0) as deployment:
            (gateway,) = deployment.gateways
            loop = asyncio.get_running_loop()
            began, served, number, ended = loop.time(), 0, 0, False

            async def hot() -> None:
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

            asking = [asyncio.create_task(hot()) for _ in range(4)]
            for _ in range(2):
                await succeed(deployment)
            ended = True
            await asyncio.gather(*asking)
            quota = deployment.plans["carrier"]
            span = loop.time() - began
            assert 0 < served <= quota.ceiling_burst + quota.ceiling_rate * span

    run(scenario)


# --- that do not -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("steps", range(4))
def test_a_new_one_that_ends_at_a_step_leaves_the_old_one_as_it_was(tmp_path: Path, steps: int) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            before = pids(gateway)
            caller = await Caller.to(gateway)
            assert await caller.ping() == b"+PONG"
            new = Scripted(gateway)
            if steps > 0:
                new.say(hello="1")
                assert "offer" in await new.hear()
                assert len(new.descriptors) == 2, "the lock and one listener"
            if steps > 1:
                new.say(warm=True)
            if steps > 2:
                assert "yours" in await new.hear()
            new.end()
            if steps > 1:
                while "has ended before it served" not in log_of(deployment):
                    await asyncio.sleep(0.005)
            await serves(gateway, "r1")
            assert await caller.ping() == b"+PONG", "no connection was ended"
            assert pids(gateway) == before
            await succeed(deployment)  # and the next one works

    run(scenario)


def test_a_new_one_that_hangs_with_the_listeners_is_ended_and_the_old_one_goes_on(tmp_path: Path) -> None:
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
            waiting = await Caller.to(gateway)  # nobody takes it for a moment
            waiting.send("r1")
            assert await hanging.wait() == -signal.SIGKILL
            assert await waiting.answer() == b"done r1"

    run(scenario)


def test_a_new_one_that_is_not_warm_in_time_is_left(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, more="\n[supervisor]\nhandover_ms = 300\n") as deployment:
            (gateway,) = deployment.gateways
            new = Scripted(gateway)
            new.say(hello="1")
            assert "offer" in await new.hear()
            assert "not warm within" in (await new.hear())["bye"]
            new.end()
            await serves(gateway, "r1")

    run(scenario)


def broken_file(text: str) -> str:
    return text.replace("aim_ms = 800", "aim_ms = 0")


def silent_discovery(text: str) -> str:
    return text.replace('discovery = "', 'discovery = "127.0.0.1:9" #')


@pytest.mark.parametrize(("edit", "code"), [(broken_file, 78), (silent_discovery, 70)])
def test_a_new_one_that_cannot_get_ready_ends_and_the_old_one_goes_on(
    tmp_path: Path, edit: Callable[[str], str], code: int
) -> None:
    async def scenario() -> None:
        async with group(tmp_path, more="\n[supervisor]\nhandover_ms = 1500\n") as deployment:
            (gateway,) = deployment.gateways
            before = pids(gateway)
            other = tmp_path / "new.toml"
            other.write_text(edit(gateway.config.read_text()))
            process = await another(deployment, config=other)
            assert await process.wait() == code
            assert pids(gateway) == before and gateway.code is None
            await serves(gateway, "r1")

    run(scenario)


def test_a_new_one_whose_workers_crash_ends_and_the_old_one_goes_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            folder = tmp_path / "broken"
            folder.mkdir()
            # Python loads this at its start; of the new version only the workers die of it.
            site = folder / "sitecustomize.py"
            site.write_text("import os, sys\nif '--worker' in sys.orig_argv: os._exit(3)\n")
            process = await another(deployment, env={"PYTHONPATH": str(folder)})
            assert await process.wait() == 70
            assert "ended with 3 before it served" in log_of(deployment)
            await serves(gateway, "r1")

    run(scenario)


def test_of_two_at_once_one_is_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            both = await asyncio.gather(another(deployment), another(deployment))
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
            await serves(gateway, "r1")

    run(scenario)


def test_a_reload_in_the_middle_reaches_the_one_that_serves_afterwards(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            process = await another(deployment)
            while "worker" not in "".join(held(process.pid)):
                await asyncio.sleep(0.005)  # its workers may have read the file by now
            text = gateway.config.read_text()
            assert "rate = 2.5" in text
            gateway.config.write_text(text.replace("rate = 2.5", "rate = 2.6"))
            deployment.do("reload", (0,))
            await told(gateway, pid=process.pid, reloads=1, reload_problems=[])
            assert await gateway.process.wait() == 0
            gateway.process = process
            await serves(gateway, "r1")

    run(scenario)


def held(pid: int) -> list[str]:
    """The command lines of a process's children."""
    found = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        for child in (task / "children").read_text().split():
            with contextlib.suppress(OSError):
                found.append(Path(f"/proc/{child}/cmdline").read_text())
    return found


SPEND = """
import os, resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, (128, 128))
while (last := os.open(os.devnull, os.O_RDONLY)) < 127 - int(sys.argv[1]):
    os.set_inheritable(last, True)
os.execv(sys.executable, [sys.executable, *sys.argv[2:]])
"""


def test_a_new_one_without_descriptors_ends_at_whatever_step_that_is(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            text = gateway.config.read_text()
            gateway.config.write_text(text.replace("sockets = 1024", "sockets = 128"))
            # Descriptors left: for the loop, the channel, the listeners, the first worker, the second.
            for left in (8, 11, 13, 16, 22):
                words = [str(left), "-m", "lynxreel.cli.main", "serve", "--config", str(gateway.config)]
                with open(tmp_path / "g0.log", "ab") as log:
                    process = await asyncio.create_subprocess_exec(
                        sys.executable, "-c", SPEND, *words, "--take-over", stdout=log, stderr=log
                    )
                assert await process.wait() == 70, left
                assert gateway.code is None
                await serves(gateway, f"r{left}")
            assert "the listeners did not all arrive" in log_of(deployment)
            assert "could not be started (Too many open files)" in log_of(deployment)
            await succeed(deployment)

    run(scenario)


def test_a_stop_in_the_middle_ends_both(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            new = Scripted(gateway)
            new.say(hello="1")
            assert "offer" in await new.hear()
            deployment.do("stop", (0,))
            assert "asked to end" in (await new.hear())["bye"]
            new.end()
            assert await gateway.process.wait() == 0

    run(scenario)


def test_where_the_old_supervisor_is_killed_in_the_middle_the_new_one_serves(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            orphans = pids(gateway)
            process = await another(deployment)
            while not held(process.pid):
                await asyncio.sleep(0.002)
            gateway.process.kill()
            await gateway.process.wait()
            gateway.process = process
            await told(gateway, state="ready", pid=process.pid)
            await serves(gateway, "r1")
            while any(alive(pid) for pid in orphans):
                await asyncio.sleep(0.01)

    run(scenario)

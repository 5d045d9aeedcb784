"""Workers behind one address, as processes: deaths, silence, rounds, ends, and who takes connections."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest

from lynxreel.daemon.place import Place
from lynxreel.local.deployment import ASKS, HOST, Deployment, Gateway
from lynxreel.standins.faults import Fault, Kind
from tests.fleet import BROKEN, Caller, fleet, log_of, run, told

Edit = Callable[[str], str]


def workers(count: int, more: str = "") -> Edit:
    """Operator files with so many workers, and so on."""
    return lambda text: text.replace("workers = 0", f"workers = {count}", 1) + more


@contextlib.asynccontextmanager
async def group(
    folder: Path, count: int = 2, more: str = "", rate: float = 50.0
) -> AsyncIterator[Deployment]:
    """One gateway of so many workers, all ready; no process of it is left at the end."""
    async with fleet(folder, edit=workers(count, more), rate=rate) as deployment:
        (gateway,) = deployment.gateways
        await told(gateway, state="ready")
        try:
            yield deployment
        finally:
            for pid in pids(gateway):
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)


def pids(gateway: Gateway) -> list[int]:
    """The workers' process ids, by slot; 0 where one has none."""
    return [worker.get("pid", 0) for worker in gateway.place.read()["workers"] if worker.get("pid")]


def holder(address: tuple[str, int], transport: asyncio.BaseTransport) -> int:
    """Which process holds the other end of a connection: its inode, looked for among open files."""
    host, port = transport.get_extra_info("sockname")
    own = ".".join(reversed(host.split(".")))
    peer = "".join(f"{int(part):02X}" for part in own.split(".")) + f":{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[2] == peer and fields[1].endswith(f":{address[1]:04X}"):
            return int(fields[9])
    return 0


def owner(gateway: Gateway, caller: Caller) -> int:
    """The worker that serves a connection, by its process id."""
    return server_of(gateway, caller.writer.transport)


def server_of(gateway: Gateway, transport: asyncio.BaseTransport) -> int:
    """The same of any client's connection."""
    inode = holder(gateway.gate.address, transport)
    for pid in pids(gateway):
        for entry in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                if os.readlink(entry) == f"socket:[{inode}]":
                    return pid
    raise AssertionError("no worker holds it")


async def changed(gateway: Gateway, slot: int, pid: int) -> int:
    """Wait until another process is ready in this slot; its id."""
    while True:
        worker = gateway.place.read()["workers"][slot]
        if worker.get("pid") not in (None, pid) and worker["state"] == "ready":
            return int(worker["pid"])
        await asyncio.sleep(0.01)


def slot_of(gateway: Gateway, pid: int) -> int:
    workers: list[dict[str, int]] = gateway.place.read()["workers"]
    return next(worker["slot"] for worker in workers if worker.get("pid") == pid)


async def in_work(deployment: Deployment, count: int) -> None:
    """Wait until so many requests have come to boxes."""
    while sum(len(box.came) for box in deployment.boxes) < count:
        await asyncio.sleep(0.005)


def ran_twice(deployment: Deployment) -> int:
    return sum(len(runs) > 1 for runs in deployment.ledger._runs.values())


def clean(deployment: Deployment) -> None:
    """No rule was broken, and the books are not empty."""
    books = deployment.ledger.report()
    assert {what: books[what] for what in BROKEN} == dict.fromkeys(BROKEN, 0), books["problems"]
    assert books["served"] > 0


# --- deaths ---------------------------------------------------------------------------------------------


def test_a_worker_that_is_killed_is_replaced_and_the_others_answer_what_they_hold(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            callers, held = list[Caller](), list[int]()
            while len(set(held)) < 2:  # both workers hold some
                callers.append(await Caller.to(gateway))
                assert await callers[-1].ping() == b"+PONG"
                held.append(owner(gateway, callers[-1]))
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.7))
            callers, held = callers[-2:], held[-2:]
            for number, caller in enumerate(callers):
                caller.send(f"r{number}", "port-commit", customer=number)
            await in_work(deployment, 2)
            victim = held[0]
            slot = slot_of(gateway, victim)
            os.kill(victim, signal.SIGKILL)
            for number, (caller, pid) in enumerate(zip(callers, held, strict=True)):
                assert await caller.answer() == (b"" if pid == victim else b"done r%d" % number)
            await changed(gateway, slot, victim)
            assert gateway.place.read()["workers"][slot]["deaths"] == 1
            deployment.box_faults.off()
            again = await Caller.to(gateway)
            again.send("r9")
            assert await again.answer() == b"done r9"
            assert not ran_twice(deployment)

    run(scenario)


def test_all_workers_killed_at_once_refuse_no_connect_and_what_waits_is_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 3) as deployment:
            (gateway,) = deployment.gateways
            before = pids(gateway)
            for pid in before:
                os.kill(pid, signal.SIGKILL)
            callers = [await Caller.to(gateway) for _ in range(20)]
            callers[0].send("r1", patience=8_000)
            assert await callers[0].answer() == b"done r1"
            assert [await caller.ping() for caller in callers] == [b"+PONG"] * 20
            assert not set(before) & set(pids(gateway))

    run(scenario)


def test_workers_of_a_supervisor_that_is_killed_answer_what_they_hold_and_end(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.5))
            callers = [await Caller.to(gateway) for _ in range(4)]
            for number, caller in enumerate(callers):
                caller.send(f"r{number}", "port-commit", customer=number)
            await in_work(deployment, 4)
            orphans = pids(gateway)
            gateway.process.kill()
            for number, caller in enumerate(callers):
                assert await caller.answer() == b"done r%d" % number
                assert await caller.answer() == b"", "and the connection ends behind it"
            while any(alive(pid) for pid in orphans):
                await asyncio.sleep(0.01)
            await gateway.process.wait()
            with pytest.raises(ConnectionRefusedError):
                await Caller.to(gateway)

    run(scenario)


def test_a_supervisor_can_start_while_the_workers_of_a_dead_one_still_drain(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            deployment.box_faults.on(Fault(Kind.SLOW, delay=1.0))
            caller = await Caller.to(gateway)
            caller.send("r1", "port-commit", patience=5_000)
            await in_work(deployment, 1)
            deployment.box_faults.off()
            gateway.process.kill()
            await gateway.process.wait()
            gateway.process = (await deployment._launch(0, gateway.gate.address)).process
            await told(gateway, state="ready", pid=gateway.process.pid)
            other = await Caller.to(gateway)
            other.send("r2", patience=5_000)
            assert await caller.answer() == b"done r1"
            assert await other.answer() == b"done r2"

    run(scenario)


def test_a_worker_that_is_stopped_is_replaced_and_does_nothing_when_continued(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, more="\n[supervisor]\nwatchdog_ms = 2500\n") as deployment:
            (gateway,) = deployment.gateways
            deployment.box_faults.on(Fault(Kind.SLOW, delay=0.3))
            callers = [await Caller.to(gateway) for _ in range(4)]
            for number, caller in enumerate(callers):
                caller.send(f"r{number}", "port-commit", customer=number)
            await in_work(deployment, 4)
            stopped = owner(gateway, callers[0])
            slot = slot_of(gateway, stopped)
            os.kill(stopped, signal.SIGSTOP)
            await changed(gateway, slot, stopped)
            with contextlib.suppress(ProcessLookupError):
                os.kill(stopped, signal.SIGCONT)
            assert not alive(stopped)
            assert await callers[0].answer() == b"", "what it held is its client's to ask again"
            fresh = await Caller.to(gateway)
            fresh.send("r9")
            assert await fresh.answer() == b"done r9"
            assert not ran_twice(deployment)
            assert "has shown no life for 2.5 s: killed" in log_of(deployment)

    run(scenario)


def alive(pid: int) -> bool:
    """It runs: neither gone nor only waiting to be buried."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


def test_a_worker_that_dies_at_once_again_and_again_is_given_up_and_told(tmp_path: Path) -> None:
    async def scenario() -> None:
        more = "\n[supervisor]\npause_ms = 10\ngive_up = 3\nquick_ms = 20000\n"
        async with fleet(tmp_path, edit=workers(2, more)) as deployment:
            (gateway,) = deployment.gateways
            await told(gateway, state="ready")
            # In the place of its folder's lock there is something that can't be one.
            second = gateway.place.read()["workers"][1]
            lock = Path(second["folder"]) / "lock"
            lock.unlink()
            lock.mkdir()
            os.kill(second["pid"], signal.SIGKILL)
            while gateway.place.read()["workers"][1]["state"] != "given up":
                await asyncio.sleep(0.01)
            assert "worker 1 is given up: it ended with 78, 3 times at once in a row" in log_of(deployment)
            assert gateway.place.read()["state"] == "ready"
            caller = await Caller.to(gateway)
            caller.send("r1")
            assert await caller.answer() == b"done r1"
            lock.rmdir()
            deployment.do("reload", (0,))  # the operator has mended it
            await changed(gateway, 1, 0)

    run(scenario)


def test_where_no_worker_can_live_the_supervisor_ends_with_a_fault(tmp_path: Path) -> None:
    async def scenario() -> None:
        more = "\n[supervisor]\npause_ms = 10\ngive_up = 2\nquick_ms = 20000\n"
        async with fleet(tmp_path, edit=workers(2, more)) as deployment:
            (gateway,) = deployment.gateways
            await told(gateway, state="ready")
            for worker in gateway.place.read()["workers"]:
                lock = Path(worker["folder"]) / "lock"
                lock.unlink()
                lock.mkdir()
                os.kill(worker["pid"], signal.SIGKILL)
            assert await gateway.process.wait() == 70

    run(scenario)


def test_tools_ask_every_worker(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 2) as deployment:
            (gateway,) = deployment.gateways
            words = [sys.executable, "-m", "lynxreel.cli.main"]
            config = ["--config", str(gateway.config)]

            async def told_by(*more: str) -> Any:
                process = await asyncio.create_subprocess_exec(*words, *more, stdout=subprocess.PIPE)
                return json.loads((await process.communicate())[0])

            boxes = await told_by("boxes", *config)
            assert [len(one["boxes"]) for one in boxes] == [len(deployment.boxes)] * 2
            status = await told_by("status", *config)
            assert [worker["state"] for worker in status["workers"]] == ["ready", "ready"]
            shown = await told_by("counter", "inspect", *config, "--plan", "standard", f"{77:016x}")
            assert set(shown["instances"]) == {"g0/worker-0a", "g0/worker-1a"}

    run(scenario)


# --- rounds and ends --------------------------------------------------------------------------------------


def test_a_reload_goes_round_all_workers_and_a_bad_one_touches_none(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path) as deployment:
            (gateway,) = deployment.gateways
            text = gateway.config.read_text()
            gateway.config.write_text(text.replace("aim_ms = 800", "aim_ms = 900"))
            deployment.do("reload", (0,))
            state = await told(gateway, reloads=1, state="ready")
            assert state["reload_problems"] == []
            for worker in state["workers"]:
                while state_in(worker["folder"])["reloads"] != 1:  # written a moment after it was told
                    await asyncio.sleep(0.01)
            gateway.config.write_text(text.replace("aim_ms = 800", "aim_ms = -1"))
            deployment.do("reload", (0,))
            (problem,) = (await told(gateway, reloads=2))["reload_problems"]
            assert "aim_ms" in problem
            gateway.config.write_text(text.replace("workers = 2", "workers = 3"))
            deployment.do("reload", (0,))
            (problem,) = (await told(gateway, reloads=3))["reload_problems"]
            assert "gateway.workers" in problem and "mend" in problem
            for worker in gateway.place.read()["workers"]:
                assert state_in(worker["folder"])["reloads"] == 1

    run(scenario)


def state_in(folder: str) -> dict[str, Any]:
    return Place(folder).read()


@pytest.mark.parametrize("what", ["stop", "drain"])
def test_an_end_under_load_loses_nothing(tmp_path: Path, what: str) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 3, rate=150.0) as deployment:
            (gateway,) = deployment.gateways
            play = asyncio.create_task(deployment.play(2.0))
            await in_work(deployment, 50)
            deployment.do(what, (0,))
            assert await gateway.process.wait() == 0
            await play
            await deployment.front.settle(5.0)
            clean(deployment)
            assert gateway.place.read()["state"] == "stopped"

    run(scenario)


def test_a_reload_under_load_loses_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 3, rate=150.0) as deployment:
            (gateway,) = deployment.gateways
            play = asyncio.create_task(deployment.play(2.0))
            for count in range(1, 4):
                deployment.do("reload", (0,))
                await told(gateway, reloads=count)
            await play
            await deployment.front.settle(5.0)
            clean(deployment)

    run(scenario)


# --- who takes connections --------------------------------------------------------------------------------


def test_a_thousand_clients_at_the_same_instant_are_all_served_and_dealt_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 4, more="\n") as deployment:
            (gateway,) = deployment.gateways
            callers = await asyncio.gather(*[Caller.to(gateway) for _ in range(1_000)])
            for caller in callers:
                caller.command("PING")
            assert {await caller.answer() for caller in callers} == {b"+PONG"}
            folders = [worker["folder"] for worker in gateway.place.read()["workers"]]
            while sum(held := [state_in(folder).get("connections", 0) for folder in folders]) < 1_000:
                await asyncio.sleep(0.05)
            assert min(held) >= 150, f"an even part is 250: {held}"
            for caller in callers:
                caller.writer.transport.abort()

    run(scenario)


def test_connections_that_wait_are_taken_though_one_worker_hangs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 2, more="\n[supervisor]\nwatchdog_ms = 30000\n") as deployment:
            (gateway,) = deployment.gateways
            stopped, other = pids(gateway)
            os.kill(stopped, signal.SIGSTOP)
            callers = [await Caller.to(gateway) for _ in range(50)]
            for caller in callers:
                assert await caller.ping() == b"+PONG"
            assert {owner(gateway, caller) for caller in callers} == {other}
            os.kill(stopped, signal.SIGCONT)

    run(scenario)


def test_a_worker_without_descriptors_leaves_connections_to_wait_and_goes_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with group(tmp_path, 1) as deployment:
            (gateway,) = deployment.gateways
            (pid,) = pids(gateway)
            held = {int(entry.name) for entry in Path(f"/proc/{pid}/fd").iterdir()}
            free = next(number for number in itertools.count() if number not in held)
            # A new descriptor takes the least free number, which is out of bounds from now on.
            subprocess.run(["prlimit", f"--nofile={free}:", f"--pid={pid}"], check=True)
            caller = await Caller.to(gateway)
            caller.command("PING")
            while "no connection can be taken for now" not in log_of(deployment):
                await asyncio.sleep(0.01)
            subprocess.run(["prlimit", "--nofile=1024:", f"--pid={pid}"], check=True)
            assert await caller.answer() == b"+PONG"

    run(scenario)


# --- listeners that a service manager hands in ------------------------------------------------------------

ACTIVATE = """
import os, sys, socket
own = socket.create_server((sys.argv[1], int(sys.argv[2])))
own.listen(100)
os.dup2(own.fileno(), 3)
os.set_inheritable(3, True)
os.environ.update(LISTEN_PID=str(os.getpid()), LISTEN_FDS="1", LISTEN_FDNAMES="clients")
os.execv(sys.executable, [sys.executable, *sys.argv[3:]])
"""


@pytest.mark.parametrize("count", [0, 2])
def test_a_listener_of_a_service_manager_is_used_and_what_waits_there_is_served(
    tmp_path: Path, count: int
) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, edit=workers(count)) as deployment:
            (gateway,) = deployment.gateways
            deployment.do("stop", (0,))
            await gateway.process.wait()
            words = ["-m", "lynxreel.cli.main", "serve", "--config", str(gateway.config)]
            host, port = gateway.gate.address
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", ACTIVATE, host, str(port), *words
            )
            gateway.process = process
            caller = None
            while caller is None:  # the listener is there long before the gateway
                with contextlib.suppress(ConnectionRefusedError):
                    caller = await Caller.to(gateway)
            caller.send("r1", patience=10_000)
            assert await caller.answer() == b"done r1"
            process.send_signal(ASKS["stop"])
            assert await process.wait() == 0

    run(scenario)


def test_what_is_no_listener_is_told(tmp_path: Path) -> None:
    config = tmp_path / "g.toml"
    from lynxreel.local.files import operator_file
    from lynxreel.standins.world import PLANS

    config.write_text(operator_file(tmp_path, 0, 1, f"{HOST}:9", f"{HOST}:9", f"{HOST}:9", PLANS))
    program = ACTIVATE.replace("socket.create_server((sys.argv[1], int(sys.argv[2])))", "socket.socket()")
    program = program.replace("own.listen(100)", "")
    words = [HOST, "0", "-m", "lynxreel.cli.main", "serve", "--config", str(config)]
    closed = program.replace("os.execv", "os.close(3)\nos.execv")
    for text, problem in ((program, "is no TCP listener"), (closed, "is no socket")):
        run_it = [sys.executable, "-c", text, *words]
        ended = subprocess.run(run_it, capture_output=True, text=True, check=False)
        assert ended.returncode == 78
        assert f"descriptor 3 {problem}" in ended.stderr


def test_all_workers_together_keep_a_ceiling(tmp_path: Path) -> None:
    """Behind one address a customer's requests come to any worker: each holds a part of the share."""

    async def scenario() -> None:
        async with group(tmp_path, 4, rate=1.0) as deployment:
            (gateway,) = deployment.gateways
            callers = [await Caller.to(gateway) for _ in range(8)]
            loop = asyncio.get_running_loop()
            began, answers = loop.time(), Counter[bytes]()
            number = 0
            while loop.time() - began < 3.0:
                for caller in callers:
                    number += 1
                    words = [f"{7:016x}", f"x{number}", "c=lookup,t=carrier,d=1500,units=1"]
                    caller.command("CALL.GET", *words)
                for caller in callers:
                    answers[(await caller.answer())[:5]] += 1
            span = loop.time() - began
            quota = deployment.plans["carrier"]
            assert answers[b"-BUSY"] > 0 and answers[b"done "] > 0
            assert answers[b"done "] <= quota.ceiling_burst + quota.ceiling_rate * span

    run(scenario)

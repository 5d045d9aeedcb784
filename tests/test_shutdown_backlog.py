"""The platform's program between SIGTERM and SIGKILL, while clients have pipelined more than it has read."""

import asyncio
import random
import time
from collections import Counter, defaultdict
from pathlib import Path

import pytest

from tests.net import run
from tests.soak.referee import CROSSING
from tests.test_shutdown import STALL, Connection, Shutdown, order

CLIENTS = 4
DEADLINE = 20.0  # seconds; far later than the kill
WRITE_TIME = 1.0  # seconds before SIGTERM in which clients write
HANGING_COMMANDS = 4  # commands that each client writes first; servers accept them and never answer
BURST_COMMANDS = 90  # commands; more than a connection may have open


class BacklogShutdown(Shutdown):
    """Each client writes many commands at once, at a random time before SIGTERM, and then reads."""

    def __init__(self, folder: Path, commands: int, seed: int, clients: int = CLIENTS) -> None:
        super().__init__(folder, DEADLINE)
        self._commands, self._clients = commands, clients
        self._rng = random.Random(seed)
        self.written_at: dict[str, list[float]] = defaultdict(list)  # of each command, by connection
        self.ended_at: dict[str, float] = {}

    async def _open(self, port: int) -> None:
        write_times = sorted(self._rng.uniform(0.0, WRITE_TIME) for _ in range(self._clients))
        for number in range(self._clients):
            name = f"backlog-{number}"
            self.connections[name] = await Connection.open(port)
            self._readers.append(asyncio.create_task(self._read_answers(name)))
            self._write(name, "hanging", HANGING_COMMANDS)
        while len(self.servers.received) < min(self._clients, CLIENTS) * HANGING_COMMANDS:
            await asyncio.sleep(0.01)
        elapsed = 0.0
        for write_time, name in zip(write_times, self.connections, strict=True):
            await asyncio.sleep(write_time - elapsed)
            elapsed = write_time
            self._write(name, "early", self._commands)
        await asyncio.sleep(WRITE_TIME - elapsed)

    async def _read_answers(self, name: str) -> None:
        await self.connections[name].read_answers()
        self.ended_at[name] = time.monotonic()

    def _write(self, name: str, kind: str, commands: int) -> None:
        """Write so many commands at once."""
        connection = self.connections[name]
        names = [f"{name}-{kind}-{number}".encode() for number in range(commands)]
        connection.requests += names
        self.written_at[name] += [time.monotonic()] * commands
        connection.writer.write(b"".join(order(number, DEADLINE) for number in names))

    async def _ask_until(self, end: float) -> None:
        await asyncio.sleep(end - time.monotonic())

    def unanswered_for(self, name: str) -> float:
        """Return the seconds from the writing of the oldest unanswered command to the connection's end."""
        unanswered = self.written_at[name][len(self.connections[name].answers) :]
        return self.ended_at[name] - unanswered[0] if unanswered else 0.0

    def check(self) -> None:
        """Check what holds for every shutdown."""
        assert self.code == 0, self.log  # it exited by itself
        assert {connection.ended for connection in self.connections.values()} == {"closed"}
        answers = Counter(answer[:5] for c in self.connections.values() for answer in c.answers)
        assert set(answers) == {b"-ERR ", b"-BUSY"}  # failed where it may have run, else refused


class BurstShutdown(BacklogShutdown):
    """Clients write bursts until their connections end; the process stalls shortly before its end."""

    def _stalls(self) -> list[float]:
        return [self.kill_after - CROSSING - self._rng.uniform(0.0, STALL)]

    async def _ask_until(self, end: float) -> None:
        writing = [asyncio.create_task(self._write_bursts(name)) for name in self.connections]
        await super()._ask_until(end)
        for task in writing:
            task.cancel()

    async def _write_bursts(self, name: str) -> None:
        number = 0
        while not self.connections[name].ended:
            self._write(name, f"late-{number}", self._commands)
            number += 1
            await asyncio.sleep(self._rng.uniform(0.01, 0.1))


@pytest.mark.parametrize(("clients", "commands"), [(4, 3_000), (1, 10_000)])
def test_commands_behind_a_full_queue_are_all_answered_before_the_kill(
    tmp_path: Path, clients: int, commands: int
) -> None:
    shutdown = BacklogShutdown(tmp_path, commands, seed=commands, clients=clients)
    run(shutdown.play)
    unanswered = {name: len(c.unanswered) for name, c in shutdown.connections.items() if c.unanswered}
    assert not unanswered, shutdown.log
    shutdown.check()


@pytest.mark.parametrize("seed", [1, 2])
def test_of_bursts_until_the_end_only_commands_in_transit_stay_unanswered(tmp_path: Path, seed: int) -> None:
    shutdown = BurstShutdown(tmp_path, BURST_COMMANDS, seed)
    run(shutdown.play)
    assert max(map(shutdown.unanswered_for, shutdown.connections)) < CROSSING, shutdown.log
    shutdown.check()


def test_no_forwarded_request_is_lost_though_many_clients_have_written_much(tmp_path: Path) -> None:
    """Together they have written more than the program may be able to read in time."""
    shutdown = BacklogShutdown(tmp_path, 500, seed=1, clients=100)
    run(shutdown.play)
    assert not shutdown.lost, shutdown.log
    shutdown.check()

"""The platform's program between SIGTERM and SIGKILL, while clients have pipelined more than it has read."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

import pytest

from tests.net import run
from tests.test_shutdown import Connection, Shutdown, order

CLIENTS = 4
DEADLINE = 20.0  # seconds; far beyond the kill
LEAD = 1.0  # seconds before SIGTERM in which clients write
HANGING = 4  # commands that each client writes first; servers take them and answer nothing


class BacklogShutdown(Shutdown):
    """Each client writes many commands in one go, at a drawn moment before SIGTERM, and then reads."""

    def __init__(self, folder: Path, commands: int, seed: int) -> None:
        super().__init__(folder, DEADLINE)
        self._commands = commands
        self._chance = random.Random(seed)

    async def _open(self, port: int) -> None:
        moments = sorted(self._chance.uniform(0.0, LEAD) for _ in range(CLIENTS))
        for number in range(CLIENTS):
            connection = self.connections[f"backlog-{number}"] = await Connection.open(port)
            self._following.append(asyncio.create_task(connection.follow()))
            self._write(f"hanging-{number}", connection, HANGING)
        while len(self.servers.received) < CLIENTS * HANGING:
            await asyncio.sleep(0.01)
        passed = 0.0
        for moment, (name, connection) in zip(moments, self.connections.items(), strict=True):
            await asyncio.sleep(moment - passed)
            passed = moment
            self._write(name, connection, self._commands)
        await asyncio.sleep(LEAD - passed)

    @staticmethod
    def _write(name: str, connection: Connection, commands: int) -> None:
        numbers = [f"{name}-{number}".encode() for number in range(commands)]
        connection.asked += numbers
        connection.writer.write(b"".join(order(number, DEADLINE) for number in numbers))

    async def _ask_until(self, end: float) -> None:
        await asyncio.sleep(end - time.monotonic())


@pytest.mark.parametrize("commands", [3_000, 10_000])
def test_commands_behind_a_full_queue_are_all_answered_before_the_kill(tmp_path: Path, commands: int) -> None:
    shutdown = BacklogShutdown(tmp_path, commands, seed=commands)
    run(shutdown.play)
    unanswered = {name: len(c.unanswered) for name, c in shutdown.connections.items() if c.unanswered}
    assert not unanswered, (unanswered, shutdown.log)
    assert {connection.ended for connection in shutdown.connections.values()} == {"closed"}
    assert shutdown.code == 0, shutdown.log  # it had ended by itself
    answers = Counter(answer[:5] for c in shutdown.connections.values() for answer in c.answers)
    assert set(answers) == {b"-ERR ", b"-BUSY"}  # failed where it may have run, else refused

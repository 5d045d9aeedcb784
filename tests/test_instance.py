"""The shell round an instance's life: signals that come at a bad moment of the start."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from lynxreel.daemon.instance import Instance
from lynxreel.daemon.lifecycle import Ask, Do, Life, ShutdownTimes, State
from tests.net import run

TIMES = ShutdownTimes(accept=0.0, serve=0.0, answer=0.0, cut_off=0.0)


class Recorded(Instance):
    """An instance without sockets; it keeps what it was to do."""

    def __init__(self, serves: bool) -> None:
        super().__init__(Life(TIMES), asyncio.get_running_loop())
        ignore: Any = lambda *_: None  # noqa: E731
        node = SimpleNamespace(serves=serves, connections=0, shutdown=None, drain=self._nothing)
        node.follow_shutdown = node.stop = ignore
        self.node = node  # type: ignore[assignment]
        self.done: list[Do] = []

    async def _nothing(self, *_: object) -> None:
        """All connections have ended."""

    def do(self, do: Do) -> None:
        self.done.append(do)


@pytest.mark.parametrize("serves", [False, True])
@pytest.mark.parametrize("ask", [Ask.STOP, Ask.LEAVE])
def test_an_end_asked_for_while_listeners_open_loses_nothing_that_they_took(ask: Ask, serves: bool) -> None:
    async def scenario() -> None:
        instance, opened = Recorded(serves), asyncio.Event()

        async def start() -> None:
            instance.ask(ask)
            await opened.wait()
            instance.started()

        life = asyncio.create_task(instance.live(start()))
        for _ in range(50):  # turns of the loop, in which it takes what was asked
            await asyncio.sleep(0)
        assert (instance.life.state is State.STOPPED) is not serves  # where nothing was taken it ends at once
        opened.set()
        await life
        assert (Do.CLOSE in instance.done) is serves
        assert instance.life.state is State.STOPPED

    run(scenario)

"""The shell round an instance's life: what signals and calls ask goes in, what is to be done comes out."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine

from lynxreel.daemon.lifecycle import Ask, Do, Empty, Event, Life, Reloaded, Started, State, Tick
from lynxreel.fronts.draining import DrainTimes
from lynxreel.internal_errors import internal_errors
from lynxreel.log import log
from lynxreel.node import Node
from lynxreel.operations.calls import answer
from lynxreel.operations.desk import OperatorListener
from lynxreel.protocol.address import Address


ENDS = (Ask.STOP, Ask.LEAVE)


class Instance:
    """One gateway's life from its start to its end. What differs between programs is in what derives."""

    announce = 0.0  # seconds in which idle connections are left open once the instance is to end

    def __init__(self, life: Life, loop: asyncio.AbstractEventLoop) -> None:
        self.life, self.loop = life, loop
        self.node: Node  # set by whoever derives, before `live`
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._postponed: list[Event] = []  # ends that were asked for while the listeners were being opened
        self._desk: OperatorListener | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(self, ask: Ask) -> None:
        """An operator's wish, by a signal."""
        self._events.put_nowait(ask)

    async def take_calls(self, listen: Address) -> Address:
        """Answer operators' calls there; where. Raises an OSError where the address is taken."""
        self._desk = OperatorListener(self.call, self.loop)
        return await self._desk.open(listen)

    def call(self, line: bytes) -> bytes:
        """An operator's call; its answer. It is carried out before that: whoever has it may rely on it."""
        reply, deeds = answer(self.life, self.loop.time(), line, self.node.lacks)
        self._carry_out(deeds)
        return reply

    def later(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Something that goes on beside the life, and ends with it."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def live(self, start: Coroutine[object, object, None]) -> None:
        """Until STOPPED. `start` ends when clients are taken; raises what it raised."""
        internal_errors.watch(self.loop)
        starting = self.later(start)
        try:
            while self.life.state is not State.STOPPED:
                event = await self._next(starting)
                if event in ENDS and self._opening():
                    self._postponed.append(event)
                    continue
                self._carry_out(self.life.handle(self.loop.time(), event))
                if event == Started():
                    for asked in self._postponed:
                        self._events.put_nowait(asked)
        finally:
            for task in list(self._tasks):
                task.cancel()
            if self._desk is not None:
                self._desk.close()

    def _opening(self) -> bool:
        """It may have taken requests before its start has ended: an end at once would lose them."""
        return self.life.state is State.STARTING and self.node.serves

    async def _next(self, start: asyncio.Task[None]) -> Event:
        """The next event, or a Tick when one is due. Raises what ended the start."""
        due = self.life.due()
        timeout = None if due is None else max(0.0, due - self.loop.time())
        getting = self.loop.create_task(self._events.get())
        waiting = {getting} if start.done() else {getting, start}
        await asyncio.wait(waiting, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        if start.done() and (wrong := start.exception()) is not None:
            getting.cancel()
            raise wrong
        if getting.done():
            return getting.result()
        getting.cancel()
        return Tick(self.node.is_sending())

    def started(self) -> None:
        """Clients are taken."""
        self._events.put_nowait(Started())

    def reloaded(self) -> None:
        """The reload that was begun has ended, well or not."""
        self._events.put_nowait(Reloaded())

    def _carry_out(self, deeds: list[Do]) -> None:
        for do in deeds:
            match do:
                case Do.SET_ASIDE:
                    log("drained: clients are sent away until UNDRAIN")
                    self.node.set_aside()
                case Do.TAKE_BACK:
                    log("undrained: clients are taken")
                    self.node.take_back()
                case Do.SAY_LEAVING:
                    self.node.follow_shutdown(self.life.state.value)
                    now = self.loop.time()
                    self.node.stop(self.life.refuse_at - now, self.life.answer_at - now)
                case Do.CLOSE:
                    if self.node.shutdown is not None:
                        self.node.shutdown.draining = True
                    self.later(self._drain())
                case Do.EXIT:
                    if self.node.shutdown is not None:
                        self.node.shutdown.finish(self.node.connections, self.node.engine.pending_requests())
            self.do(do)

    async def _drain(self) -> None:
        times = self.life.times
        patience = max(0.0, self.life.answer_at - self.loop.time())
        cut_off = math.inf if times.finish_sending else times.cut_off  # the life ends it
        await self.node.drain(DrainTimes(self.announce, patience, cut_off))
        if not self.node.connections:
            self._events.put_nowait(Empty())

    def do(self, do: Do) -> None:
        """What a program adds to a deed, or all of it where the deed is its own."""
        raise NotImplementedError

"""A stand-in for the network between two instances: one direction of one pair, by a script and a seed.

It passes on what one says to another and knows of the protocol only where a frame ends: four bytes of length
stand before it. SILENT holds all back until its span is over, as a cut does, also what new connections say;
SLOW is late by `delay`; LOSE, TWICE and SWAP drop, double, and let the next frame go first; RESET ends the
connection. Once the process that hears has ended nobody listens here either, so that a death looks like one;
a moment earlier or later a connect must not be refused in the name of a process that lives.
"""

from __future__ import annotations

import asyncio
import struct
from collections import Counter, deque
from contextlib import suppress
from typing import cast

from lynxreel.protocol.address import Address
from lynxreel.standins.base import LOOK, Clock, Link, Listener
from lynxreel.standins.faults import Fault, Faults, Kind

HEAD = struct.Struct(">I")
ON_FRAMES = (Kind.RESET, Kind.LOSE, Kind.TWICE, Kind.SWAP, Kind.SLOW)


class Wire:
    """What `speaker` says to `hearer`, who listens at `target`. Faults name it `speaker>hearer`."""

    def __init__(
        self, speaker: str, hearer: str, target: Address, faults: Faults, clock: Clock
    ) -> None:
        self.name, self.target, self.faults, self.clock = f"{speaker}>{hearer}", target, faults, clock
        self.struck: Counter[Kind] = Counter()  # frames, by what was done to them
        self.passed = self.bytes = 0  # frames and bytes
        self.listener = Listener(self.name, faults, clock, lambda listener: _Near(listener, self))
        self._dead = Fault(Kind.DEAD, target=self.name)

    def cut(self) -> bool:
        """Nothing passes now."""
        return self.faults.pick(self.name, self.clock.now(), (Kind.SILENT,)) is not None

    def ended(self, over: bool) -> None:
        """The process that hears has ended, so that connects are refused; or is about to start."""
        self.faults.off(self._dead)
        if over:
            self.faults.on(self._dead)

    def close(self) -> None:
        """The end."""
        self.listener.close()


class _Near(Link):
    """The side of the one who speaks."""

    def __init__(self, listener: Listener, wire: Wire) -> None:
        super().__init__(listener)
        self.wire, self._loop = wire, asyncio.get_running_loop()
        self._far: _Far | None = None
        self._data = bytearray()
        self._waiting: deque[bytes] = deque()  # frames that are held back
        self._swapped: bytes | None = None
        self._free_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect on."""
        super().connection_made(transport)
        self._task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        while self._far is None:
            with suppress(OSError):  # not yet there: whoever waits at its address is not refused in its name
                if not self.wire.cut():
                    _, self._far = await self._loop.create_connection(lambda: _Far(self), *self.wire.target)
                    break
            await asyncio.sleep(LOOK)
        self._pass()

    def data_received(self, data: bytes) -> None:
        """Something is said."""
        self._data += data
        while len(self._data) >= HEAD.size:
            size = HEAD.size + HEAD.unpack_from(self._data)[0]
            if len(self._data) < size:
                break
            self._waiting.append(bytes(self._data[:size]))
            del self._data[:size]
        self._pass()

    def _pass(self) -> None:
        """What is whole goes on, unless the wire is cut."""
        self._timer = None
        if not self._waiting or self._far is None or self.transport.is_closing():
            return
        if self.wire.cut():
            self._timer = self._loop.call_later(LOOK, self._pass)
            return
        if self._swapped is None and not self.wire.faults.meant_for(self.wire.name):
            self._on(b"".join(self._waiting), 0.0, len(self._waiting))
            self._waiting.clear()
        while self._waiting and not self.transport.is_closing():
            self._strike(self._waiting.popleft())

    def _strike(self, frame: bytes) -> None:
        wire = self.wire
        fault = wire.faults.pick(wire.name, wire.clock.now(), ON_FRAMES)
        kind = fault.kind if fault is not None else None
        if kind is not None:
            wire.struck[kind] += 1
        if kind is Kind.RESET:
            self.reset()
            return
        if kind is Kind.SWAP and self._swapped is None:
            self._swapped = frame
            return
        late = fault.delay if fault is not None and kind is Kind.SLOW else 0.0
        for one in [] if kind is Kind.LOSE else [frame] * (2 if kind is Kind.TWICE else 1):
            self._on(one, late)
        if self._swapped is not None:
            behind, self._swapped = self._swapped, None
            self._on(behind, 0.0)

    def _on(self, data: bytes, late: float, frames: int = 1) -> None:
        """In order, and late where it has to be."""
        self.wire.passed += frames
        self.wire.bytes += len(data)
        now = self._loop.time()
        self._free_at = max(self._free_at, now + late)
        if self._free_at <= now:
            self._write(data)
        else:
            self._loop.call_at(self._free_at, self._write, data)

    def _write(self, data: bytes) -> None:
        if self._far is not None and not self._far.transport.is_closing():
            self._far.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Over, on both sides."""
        super().connection_lost(error)
        if self._task is not None:
            self._task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._far is not None:
            self._far.transport.abort()


class _Far(asyncio.Protocol):
    """The side of the one who hears. What comes back from there is a greeting."""

    def __init__(self, near: _Near) -> None:
        self._near = near
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Back."""
        self._near.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Its process has ended, or its link; a cut lets nothing of that through until it is over."""
        if self._near.wire.cut():
            asyncio.get_running_loop().call_later(LOOK, self.connection_lost, error)
        else:
            self._near.reset()

"""The worker's side of its supervisor: the listeners that it shares, its signs of life, and what it is told.

Where the channel to the supervisor ends, the supervisor has: the worker hands back its share and drains.
"""

from __future__ import annotations

import asyncio
import errno
import json
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lynxreel.fronts.listeners import (
    ProtocolFactory,
    SharedListener,
    duplicate_listener,
    listener_from_descriptor,
)
from lynxreel.protocol.address import Address
from lynxreel.workers.board import Board
from lynxreel.workers.channel import Channel, Message
from lynxreel.workers.fairness import PAUSE, Fairness

BEAT = 0.1  # seconds between looks at the board's row; a sign of life goes out as often


@dataclass(frozen=True)
class Post:
    """What a worker is started with: its place among the others, and descriptors."""

    slot: int
    side: str
    channel: int
    board: int
    rows: int
    listeners: tuple[int, ...]

    def text(self) -> str:
        """For the command line."""
        return json.dumps(vars(self))

    @classmethod
    def read(cls, text: str) -> Post:
        """From the command line."""
        told = json.loads(text)
        return cls(**{**told, "listeners": tuple(told["listeners"])})


class SharedDoors:
    """The supervisor's listeners, and the gate before them."""

    pause = PAUSE

    def __init__(self, post: Post, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._slot = loop, post.slot
        self.board = Board(post.board, post.rows)
        own = [listener_from_descriptor(descriptor) for descriptor in post.listeners]
        self._listeners: dict[Address, socket.socket] = {one.getsockname()[:2]: one for one in own}
        self._fairness = Fairness()
        self.count: Callable[[], int] = int  # the connections that are open here

    async def open(self, address: Address, factory: ProtocolFactory) -> SharedListener:
        """Take connections there from now on; an OSError where the supervisor holds no listener there."""
        own = self._listeners.get(address)
        if own is None:
            why = "the supervisor holds no listener there; mend: hand over to a new one for that"
            raise OSError(errno.EADDRNOTAVAIL, why)
        return SharedListener(self._loop, duplicate_listener(own), factory, self)

    def take(self) -> int:
        """How many of the connections that wait this worker takes now."""
        own = self.count()
        taken = self._fairness.take(time.monotonic(), own, self.board.others(self._slot))
        self.board.write(self._slot, own + taken)
        return taken

    def close(self) -> None:
        """The end: a listener that nobody holds refuses connects."""
        for own in self._listeners.values():
            own.close()


class Leash:
    """The channel to the supervisor."""

    def __init__(
        self,
        post: Post,
        doors: SharedDoors,
        loop: asyncio.AbstractEventLoop,
        door: Callable[[bool], Awaitable[None]],
        leaving: Callable[[bool], None],
        lost: Callable[[], None],
    ) -> None:
        """`door` opens and shuts the fronts; `leaving`: whether pings are to hear that the address goes;
        `lost`: the supervisor has ended."""
        self._slot, self._doors, self._loop, self._door = post.slot, doors, loop, door
        self._leaving = leaving
        self._turn = asyncio.Lock()  # doors are moved one at a time, in the order of what was told
        self._moves: set[asyncio.Task[None]] = set()
        own = socket.socket(fileno=post.channel)
        self._channel = Channel(own, loop, self._heard, lost)

    def _heard(self, message: Message, descriptors: list[int]) -> None:
        if "door" in message:
            move = self._loop.create_task(self._move(message["door"] == "open"))
            self._moves.add(move)
            move.add_done_callback(self._moves.discard)
        elif "leaving" in message:
            self._leaving(message["leaving"])

    async def _move(self, opened: bool) -> None:
        async with self._turn:
            await self._door(opened)
            self._channel.say({"door": "open" if opened else "shut"})

    async def beat(self) -> None:
        """Show life for as long as the loop turns."""
        while True:
            self._doors.board.write(self._slot, self._doors.count())
            self._channel.say({"beat": True})
            await asyncio.sleep(BEAT)

    def ready(self) -> None:
        """It serves, or would."""
        self._channel.say({"ready": True})

    def reloaded(self, problems: list[str]) -> None:
        """A reload is over."""
        self._channel.say({"reloaded": problems})

    def close(self) -> None:
        """The end."""
        for move in list(self._moves):
            move.cancel()
        self._channel.close()
        self._doors.close()

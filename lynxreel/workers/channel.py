"""Messages between processes of one machine, over a SOCK_SEQPACKET socket: JSON objects and descriptors.

The end of a process is the end of its channels, however it ended.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

MOST = 65_536  # bytes of a message
MOST_DESCRIPTORS = 64  # with one message
QUEUE = 256  # messages that wait for a peer that does not read; older ones go first
RETRY = 0.05  # seconds between tries to write to it

Message = dict[str, Any]


class Channel:
    """One end. `heard` gets each message with its descriptors; `lost` is called once, at the end."""

    def __init__(
        self,
        own: socket.socket,
        loop: asyncio.AbstractEventLoop,
        heard: Callable[[Message, list[int]], None],
        lost: Callable[[], None],
    ) -> None:
        self._own, self._loop, self._heard, self._lost = own, loop, heard, lost
        self._waiting: deque[bytes] = deque(maxlen=QUEUE)
        self._timer: asyncio.TimerHandle | None = None
        self.closed = False
        own.setblocking(False)
        loop.add_reader(own, self._read)

    @property
    def peer(self) -> int:
        """The process id of the other end, as it was when the channel was made."""
        return int.from_bytes(self._own.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)[:4], "little")

    def say(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message; one with descriptors goes now or, with an OSError, not at all."""
        if self.closed:
            return
        data = json.dumps(message).encode()
        if descriptors:
            socket.send_fds(self._own, [data], list(descriptors))
            return
        self._waiting.append(data)
        if self._timer is None:
            self._write()

    def _write(self) -> None:
        self._timer = None
        try:
            while self._waiting and not self.closed:
                self._own.send(self._waiting[0])
                self._waiting.popleft()
        except BlockingIOError:
            self._timer = self._loop.call_later(RETRY, self._write)
        except OSError:
            self._waiting.clear()  # its end is about to be read

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self._own, MOST, MOST_DESCRIPTORS)
        except BlockingIOError:
            return
        except OSError:
            data, descriptors, flags = b"", [], 0
        if not data:
            self.close()
            self._lost()
            return
        for descriptor in descriptors:
            os.set_inheritable(descriptor, False)
        message = json.loads(data)
        if flags & socket.MSG_CTRUNC:
            for descriptor in descriptors:
                os.close(descriptor)
            message, descriptors = {"cut": True}, []
        self._heard(message, descriptors)

    def close(self) -> None:
        """The end, which the other side hears of. `lost` is not called."""
        if self.closed:
            return
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._own)
        self._own.close()


def pair() -> tuple[socket.socket, socket.socket]:
    """Both ends of a new channel."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)

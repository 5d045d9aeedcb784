"""What the system holds for a connection, in either direction (Linux, tcp(7))."""

from __future__ import annotations

import array
import asyncio
import fcntl
import select
import socket
import termios
from contextlib import suppress

# Bytes. A segment of the loopback network takes 128 KiB of a buffer until its last byte is read, and without
# room for one more the receive window is closed.
RECEIVE_BUFFER = 384 * 1024


def unread_bytes(transport: asyncio.Transport) -> int | None:
    """Bytes that have arrived and have not been read; None where the system does not tell."""
    return _queued(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.Transport) -> int | None:
    """Bytes that were handed to the system and not acknowledged by the peer; None where it does not tell."""
    return _queued(transport, termios.TIOCOUTQ)


def has_unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the peer's close, are waiting to be read: closing now could cause a reset."""
    return _poll(transport, select.POLLIN)


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed the connection, even if bytes before that are unread."""
    return _poll(transport, select.POLLRDHUP)


def enlarge_receive_buffer(transport: asyncio.Transport) -> None:
    """Have the system hold a message of 64 KiB whole, however it comes, before it closes the receive window.

    It is a wish: the system may refuse it, and has a limit of its own. SO_RCVBUF would fix the size for good.
    """
    with suppress(OSError):
        sock = transport.get_extra_info("socket")
        for low_water in (RECEIVE_BUFFER, 1):  # the buffer grows to the low-water mark, and stays so
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, low_water)


def _poll(transport: asyncio.Transport, events: int) -> bool:
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))


def _queued(transport: asyncio.Transport, request: int) -> int | None:
    count = array.array("i", [0])
    try:
        fcntl.ioctl(transport.get_extra_info("socket").fileno(), request, count)
    except OSError:
        return None
    return count[0]

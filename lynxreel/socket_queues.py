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
SIOCOUTQNSD = 0x894B  # linux/sockios.h: bytes that the system has not sent yet


def unread_bytes(transport: asyncio.Transport) -> int | None:
    """Bytes that have arrived and have not been read; None where the system does not tell."""
    return _queued(transport, termios.FIONREAD)


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Bytes that the peer has not acknowledged, in this process and below, as far as that is known."""
    below = None if transport.is_closing() else _queued(transport, termios.TIOCOUTQ)
    return transport.get_write_buffer_size() + (below or 0)


def has_unsent(transport: asyncio.Transport) -> bool:
    """Whether bytes that were handed to the system wait for room at the peer, as far as that is known.

    If so the peer learns late of the end of the connection, which is sent behind them.
    """
    return not transport.is_closing() and bool(_queued(transport, SIOCOUTQNSD))


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

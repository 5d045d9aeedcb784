"""What the system tells of a server's connection that is not being read."""

from __future__ import annotations

import asyncio
import select

from lynxreel.socket_queues import unread_bytes


def has_ended_before(transport: asyncio.Transport, size: int) -> bool:
    """Whether the peer has ended or reset a connection before this many further bytes have arrived.

    What arrived before the end can be read still. Where its number is not known, the end proves nothing.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    if not poll.poll(0):
        return False
    unread = unread_bytes(transport)
    return unread is not None and unread < size

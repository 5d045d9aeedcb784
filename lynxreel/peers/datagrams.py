"""Messages between gateways as UDP datagrams: unreliable, and accepted from listed gateways only."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import cast

from lynxreel.log import log
from lynxreel.protocol.address import Address
from lynxreel.transient import while_short
from mothgap.interface import PeerMessage

MAX_DATAGRAM = 256  # bytes; no gateway sends a longer datagram
# Datagrams per second that are accepted at least; more can only come from a faulty gateway or a forger.
MIN_RECEIVE_LIMIT = 200
RECEIVE_LIMIT_PER_PEER = 5  # the same for each listed gateway, where that comes to more


class Peers(asyncio.DatagramProtocol):
    """One gateway's endpoint for messages to the others; gateways are numbered by index in `addresses`."""

    def __init__(
        self,
        addresses: Sequence[Address],
        index: int,
        post: Callable[[PeerMessage], object],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`post` is called with each message from another gateway; `index` is this gateway's own number."""
        self._addresses, self._index, self._loop = tuple(addresses), index, loop
        self.post = post
        self._numbers = {address: n for n, address in enumerate(self._addresses) if n != index}
        self._transport: asyncio.DatagramTransport | None = None
        self._current_second, self._received = 0, 0
        self._receive_limit = max(MIN_RECEIVE_LIMIT, RECEIVE_LIMIT_PER_PEER * len(self._addresses))
        self.dropped = {"stranger": 0, "too long": 0, "too many": 0, "not sent": 0}  # datagrams, by cause

    async def open(self, listen: Address, reuse_address: bool = False) -> None:
        """Start listening, unless it is done already. Raises an OSError where the address is in use.

        `reuse_address`: listen even while an older process of this gateway does. The system delivers
        datagrams to the socket that was bound last.
        """
        if self._transport is not None:
            return
        sock = await while_short(lambda: self._bind(listen, reuse_address))
        await self._loop.create_datagram_endpoint(lambda: self, sock=sock)

    @staticmethod
    def _bind(listen: Address, reuse_address: bool) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse_address)
            sock.bind(listen)
        except OSError:
            sock.close()
            raise
        return sock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Post a message from another listed gateway; anything else is dropped and counted."""
        sender = self._numbers.get((address[0], address[1]))
        second = int(self._loop.time())
        if second != self._current_second:
            self._current_second, self._received = second, 0
        if sender is None:
            self.dropped["stranger"] += 1
        elif len(data) > MAX_DATAGRAM:
            self.dropped["too long"] += 1
        elif self._received >= self._receive_limit:
            self.dropped["too many"] += 1
        else:
            self._received += 1
            self.post(PeerMessage(sender, data))

    def error_received(self, error: Exception) -> None:
        """Ignored: the receiver is not running, and may start at any time."""

    def tell(self, to: int | None, data: bytes) -> None:
        """Send to one gateway, or to all others; a message that can't be sent now is dropped and counted."""
        numbers = self._numbers.values() if to is None else (to,)
        for number in numbers:
            if self._transport is None or len(data) > MAX_DATAGRAM or not 0 <= number < len(self._addresses):
                self.dropped["not sent"] += 1
                continue
            try:
                self._transport.sendto(data, self._addresses[number])
            except OSError as error:
                self.dropped["not sent"] += 1
                log(f"can't send to gateway {number}: {error}")

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

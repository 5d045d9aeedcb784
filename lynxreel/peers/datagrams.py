"""Messages between gateways as UDP datagrams: late, or never, and from those on the list only."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import cast

from lynxreel.log import log
from lynxreel.protocol.address import Address
from lynxreel.transient import while_short
from mothgap.interface import PeerMessage

MOST = 256  # bytes of a datagram; a longer one is none of a gateway's
LEAST_HEARD = 200  # datagrams a second that are looked at; more are no gateways, or one that has gone mad
EACH_HEARD = 5  # the same for each gateway on the list, where that comes to more


class Peers(asyncio.DatagramProtocol):
    """One gateway's place among the others, which are numbered by their place in `addresses`."""

    def __init__(
        self,
        addresses: Sequence[Address],
        index: int,
        post: Callable[[PeerMessage], object],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`post` takes what other gateways say; `index` is this one's own number."""
        self._addresses, self._index, self._loop = tuple(addresses), index, loop
        self.post = post
        self._numbers = {address: n for n, address in enumerate(self._addresses) if n != index}
        self._transport: asyncio.DatagramTransport | None = None
        self._second, self._heard = 0, 0
        self._most = max(LEAST_HEARD, EACH_HEARD * len(self._addresses))
        self.dropped = {"stranger": 0, "too long": 0, "too many": 0, "not sent": 0}  # datagrams, by cause

    async def open(self, listen: Address, beside: bool = False) -> None:
        """Listen, unless it is done already. Raises an OSError where the address is taken.

        `beside`: also where an older process of this gateway does. The system brings datagrams to the one
        that was bound last.
        """
        if self._transport is not None:
            return
        own = await while_short(lambda: self._bound(listen, beside))
        await self._loop.create_datagram_endpoint(lambda: self, sock=own)

    @staticmethod
    def _bound(listen: Address, beside: bool) -> socket.socket:
        own = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            own.setblocking(False)
            own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, beside)
            own.bind(listen)
        except OSError:
            own.close()
            raise
        return own

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass on what another gateway of the list says; the rest is dropped and counted."""
        sender = self._numbers.get((address[0], address[1]))
        second = int(self._loop.time())
        if second != self._second:
            self._second, self._heard = second, 0
        if sender is None:
            self.dropped["stranger"] += 1
        elif len(data) > MOST:
            self.dropped["too long"] += 1
        elif self._heard >= self._most:
            self.dropped["too many"] += 1
        else:
            self._heard += 1
            self.post(PeerMessage(sender, data))

    def error_received(self, error: Exception) -> None:
        """The other end is not there: it is heard of again when it speaks."""

    def tell(self, to: int | None, data: bytes) -> None:
        """Send to one gateway, or to all others; what can't be sent now is lost, as any datagram may be."""
        numbers = self._numbers.values() if to is None else (to,)
        for number in numbers:
            if self._transport is None or len(data) > MOST or not 0 <= number < len(self._addresses):
                self.dropped["not sent"] += 1
                continue
            try:
                self._transport.sendto(data, self._addresses[number])
            except OSError as wrong:
                self.dropped["not sent"] += 1
                log(f"gateway {number} can't be told: {wrong}")

    def close(self) -> None:
        """The end of the process."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

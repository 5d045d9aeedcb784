"""A client that knows when an answer came to this machine, however late its own process reads it."""

import asyncio
import socket
import struct
import time

from lynxreel.local.deployment import Gateway
from lynxreel.protocol.resp import pack

SO_TIMESTAMPNS = 35  # asm-generic/socket.h; Python has no name for it
TIMESPEC = struct.Struct("@qq")
MOST = 4096  # bytes of an answer here


class StampedCaller:
    """One connection, by hand. Times are seconds on the wall clock, which the kernel's stamps are told by."""

    def __init__(self, gateway: Gateway) -> None:
        self._socket = socket.create_connection(gateway.gate.address)
        self._socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.sent_at = 0.0

    def send(self, number: str, name: str, patience: int, customer: int) -> None:
        """Write a request; its bytes are the kernel's when this returns. `patience`: milliseconds."""
        words = ["CALL.POST" if name == "port-commit" else "CALL.GET", f"{customer:016x}", number]
        words.append(f"c={name},t=standard,d={patience},units=1")
        words += ["body"] if name == "port-commit" else []
        self._socket.sendall(pack([word.encode() for word in words]))
        self.sent_at = time.time()

    async def answer(self) -> tuple[bytes, float]:
        """The next answer, and how long after its request it came."""
        data, stamps, _, _ = await asyncio.to_thread(
            self._socket.recvmsg, MOST, socket.CMSG_SPACE(TIMESPEC.size)
        )
        ((_, _, stamp),) = stamps
        seconds, nanoseconds = TIMESPEC.unpack(stamp)
        return data.strip(), seconds + nanoseconds / 1e9 - self.sent_at

    def close(self) -> None:
        """Hang up."""
        self._socket.close()

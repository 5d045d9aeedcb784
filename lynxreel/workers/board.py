"""A page of memory that the workers of a supervisor share: the connections of each, and when it last ran.

One row a worker, two numbers of 8 bytes. Each worker writes its own row alone, and a number is written at one
stroke; a reader may see one a little old, which costs a connection in the wrong place at the worst.
"""

from __future__ import annotations

import mmap
import os
import struct
import time

ROW = struct.Struct("=qq")  # connections, and when they were last written, in nanoseconds (monotonic)
FRESH = 1.0  # seconds after which a row says nothing of its worker: it hangs, or is not there


class Board:
    """The page, by its descriptor; it goes with the last process that holds it."""

    def __init__(self, descriptor: int, rows: int) -> None:
        self.descriptor, self.rows = descriptor, rows
        self._page = mmap.mmap(descriptor, rows * ROW.size)

    @classmethod
    def new(cls, rows: int) -> Board:
        """An empty one."""
        descriptor = os.memfd_create("lynxreel-workers", os.MFD_CLOEXEC)
        os.ftruncate(descriptor, rows * ROW.size)
        return cls(descriptor, rows)

    def write(self, row: int, connections: int) -> None:
        """A worker's own count, now."""
        ROW.pack_into(self._page, row * ROW.size, connections, time.monotonic_ns())

    def clear(self, row: int) -> None:
        """The worker of this row has ended."""
        ROW.pack_into(self._page, row * ROW.size, 0, 0)

    def others(self, row: int) -> list[int]:
        """What the other workers hold, those that show life."""
        since = time.monotonic_ns() - int(FRESH * 1e9)
        rows = [ROW.unpack_from(self._page, n * ROW.size) for n in range(self.rows) if n != row]
        return [connections for connections, at in rows if at > since]

    def close(self) -> None:
        """The end, for this process."""
        self._page.close()
        os.close(self.descriptor)

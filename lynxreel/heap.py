"""Gives memory that this process has freed back to the system.

The C library keeps freed blocks between blocks in use for later, so that after a crowd of clients the process
stays as large as it was with them.
"""

from __future__ import annotations

TRIM_FRACTION = 1 / 16  # of the memory limit, by which unaccounted memory has to grow before it is trimmed


class TrimPolicy:
    """Decides when trimming is due. No I/O."""

    def __init__(self, limit: int) -> None:
        """`limit`: bytes that the process may have."""
        self._step = int(limit * TRIM_FRACTION)
        self._untrimmable: int | None = None  # bytes that the last trimming left, without those held

    def is_due(self, private: int, held: int) -> bool:
        """Whether a process that has `private` bytes, and holds `held` of them for others, is to be trimmed.

        It is not due again while there is no more than the last time: what is in use can't be given back.
        """
        unaccounted = private - held
        if self._untrimmable is None:
            self._untrimmable = unaccounted
        self._untrimmable = min(self._untrimmable, unaccounted)
        return unaccounted >= self._untrimmable + self._step

    def trimmed(self, private: int, held: int) -> None:
        """The process has been trimmed, and has `private` bytes now."""
        self._untrimmable = private - held


def trim_heap() -> None:
    """Give freed memory back, by malloc_trim(3); without effect where the C library has no such function."""
    import ctypes  # here: most processes never need it

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)

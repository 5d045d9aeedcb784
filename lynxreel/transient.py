"""Local resources that are short for a moment: the system call that wants them is made again."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

from lynxreel.log import log

SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # descriptors and memory, see accept(2)
PAUSE = 0.05  # seconds between two tries
PATIENCE = 5.0  # seconds of tries; a start may take 10 s
Result = TypeVar("Result")


async def while_short(call: Callable[[], Result]) -> Result:
    """What the call returns, made again while it fails for want of descriptors or memory.

    Raises its OSError at once where that has another cause, and after PATIENCE.
    """
    loop = asyncio.get_running_loop()
    last = loop.time() + PATIENCE
    while True:
        try:
            return call()
        except OSError as wrong:
            if wrong.errno not in SHORT or loop.time() >= last:
                raise
            log(f"tried again: {wrong.strerror}")
        await asyncio.sleep(PAUSE)

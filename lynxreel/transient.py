"""Retries system calls that fail because local resources are short for a moment."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

from lynxreel.log import log

SHORT = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # out of file descriptors or memory, see accept(2)
RETRY_INTERVAL = 0.05  # seconds between two attempts
RETRY_DURATION = 5.0  # seconds of retries; a start may take 10 s
Result = TypeVar("Result")


async def while_short(call: Callable[[], Result]) -> Result:
    """Make the call, retry it while file descriptors or memory are short, and return its result.

    An OSError of any other cause is raised at once; one of a shortage after RETRY_DURATION.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RETRY_DURATION
    while True:
        try:
            return call()
        except OSError as error:
            if error.errno not in SHORT or loop.time() >= deadline:
                raise
            log(f"tried again: {error.strerror}")
        await asyncio.sleep(RETRY_INTERVAL)

"""An exchange that is begun anew beside earlier attempts, where its peer may be away or only slow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


async def first_result(
    begin: Callable[[], Coroutine[Any, Any, Result]],
    interval: float,
    attempts: int,
    discard: Callable[[Result], None] = lambda result: None,
) -> Result:
    """Return the result of the first attempt that succeeds; the others are cancelled.

    An attempt is begun every `interval` seconds, `attempts` in all. An answer is received whether the peer is
    slower than that or has just come back. `discard` gets the result of an attempt that succeeded too late.
    Raises what an attempt raised, or TimeoutError `interval` seconds after the last one has begun.
    """
    tasks: list[asyncio.Task[Result]] = []
    try:
        for _ in range(attempts):
            tasks.append(asyncio.ensure_future(begin()))
            done, _ = await asyncio.wait(tasks, timeout=interval, return_when=asyncio.FIRST_COMPLETED)
            if done:
                first = next(task for task in tasks if task in done)
                tasks.remove(first)
                return first.result()
        raise TimeoutError
    finally:
        for task in tasks:
            _abandon(task, discard)


def _abandon(task: asyncio.Task[Result], discard: Callable[[Result], None]) -> None:
    """Cancel an attempt, or discard its result if it has succeeded meanwhile."""

    def on_done(done: asyncio.Task[Result]) -> None:
        if not done.cancelled() and done.exception() is None:
            discard(done.result())

    task.cancel()
    task.add_done_callback(on_done)

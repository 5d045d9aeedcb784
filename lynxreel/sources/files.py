"""The list of boxes from a watched file: a new version is applied as a whole or not at all.

inotify (watchfiles) reports changes in the file's folder: a file that is replaced by a rename, or through a
symlink, is another file. The file is also polled, for file systems that report no changes. A version is read
only after it has not changed for a moment; if it is invalid, the old list stays in force.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from watchfiles import awatch

from lynxreel.log import log
from lynxreel.membership.core import Action, Guards, Membership, Publish, GuardMessage
from lynxreel.membership.document import MAX_BYTES, DocumentError, read

Mark = tuple[int, int, int, int]  # device, inode, size, modification time; differs between versions


@dataclass(frozen=True)
class FileList:
    """The file, and the limits on changes that need no approval."""

    path: Path
    guards: Guards = Guards()

    def source(self, publish: Callable[[Publish], None], loop: asyncio.AbstractEventLoop) -> WatchedFile:
        """Start to watch the file."""
        return WatchedFile(self, publish, loop)


class WatchedFile:
    """Feeds a `Membership` from a file, and passes on what it publishes."""

    def __init__(
        self,
        file_list: FileList,
        publish: Callable[[Publish], None],
        loop: asyncio.AbstractEventLoop,
        quiet: float = 0.1,
        poll_interval: float = 2.0,
    ) -> None:
        """`quiet`: seconds without a change before a version is read; `poll_interval`: in seconds."""
        self.refused = ""  # why the present version was rejected; empty if it was not
        self.ready = asyncio.Event()  # set once a version has been applied
        self._path, self._publish = file_list.path, publish
        self.membership = Membership(file_list.guards, loop.time())
        self._loop, self._quiet, self._poll_interval = loop, quiet, poll_interval
        self._last_mark: Mark | None = None  # of the version that was read last
        self._changed = asyncio.Event()
        self._tasks = [loop.create_task(self._watch()), loop.create_task(self._run())]

    async def _watch(self) -> None:
        """Wait for reported changes. Where they are not available, only polling remains."""
        while True:
            try:
                async for _ in awatch(self._path.parent, recursive=False, debounce=50, step=20):
                    self._changed.set()
            except (OSError, RuntimeError) as error:
                log(f"{self._path.parent}: changes are not reported, only polled: {error}")
            await asyncio.sleep(self._poll_interval)

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            await self._read_when_stable()
            self._perform(self.membership.tick(self._loop.time()))
            due = self.membership.due()
            wait = (
                self._poll_interval
                if due is None
                else min(self._poll_interval, max(0.0, due - self._loop.time()))
            )
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _read_when_stable(self) -> None:
        """Read the present version once it is stable, unless it has been read before."""
        mark = self._stat_mark()
        while mark is not None and mark != self._last_mark:
            await asyncio.sleep(self._quiet)
            previous, mark = mark, self._stat_mark()
            if mark != previous or mark is None:
                continue
            try:
                raw = await self._loop.run_in_executor(None, self._read)
            except OSError as error:
                self._reject(str(error))
                return
            if self._stat_mark() != mark:  # changed while it was read
                mark = self._stat_mark()
                continue
            self._last_mark = mark
            self._apply(raw)
        if mark is None:
            self._reject("it is not there")
        else:
            self._perform(self.membership.source_alive(self._loop.time()))

    def _read(self) -> bytes:
        """Read the file; runs in a thread, as a network file system may be slow."""
        with open(self._path, "rb") as file:
            return file.read(MAX_BYTES + 1)

    def _stat_mark(self) -> Mark | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns

    def _apply(self, raw: bytes) -> None:
        try:
            revision, boxes = read(raw)
        except DocumentError as error:
            self._reject(str(error))
            return
        self.refused = ""
        self._perform(self.membership.apply_full_list(self._loop.time(), revision, boxes))
        self.ready.set()

    def _reject(self, why: str) -> None:
        if why != self.refused:
            self.refused = why
            log(f"{self._path}: not taken, the old list stays: {why}")

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GuardMessage):
                log(f"boxes: {action.guard}: {action.text}")
            else:
                self._publish(action)

    def approve(self) -> None:
        """Apply the change that is held back for approval."""
        self._perform(self.membership.approve(self._loop.time()))

    def view(self) -> dict[str, object]:
        """Return the state of the source, for the operators."""
        return {"source": "file", "refused": self.refused}

    def close(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()

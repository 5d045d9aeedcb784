"""Writes the records file. A separate thread appends, so that a slow or full disk never delays a request."""

from __future__ import annotations

import os
import queue
import threading
import time
from pathlib import Path
from typing import Any

from lynxreel.log import log
from lynxreel.records import format as lines

MAX_QUEUED = 1_000  # lines that wait for the disk; further ones are dropped and counted
LOG_INTERVAL = 60.0  # seconds between log lines about a file that can't be written


class Writer:
    """Appends records to `file`, rotated to `file.1`; each holds up to about half of `max_bytes`."""

    def __init__(self, file: str | Path, max_bytes: int, instance: str) -> None:
        self._file, self._max_file_bytes, self._instance = Path(file), max_bytes // 2, instance
        self._started_at = time.monotonic()
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED)
        self._fd: int | None = None
        self._size = 0
        self._torn = False  # the last line of the file may be incomplete
        self._drop_lock = threading.Lock()  # both threads count dropped lines
        self._unreported, self._drop_reason, self._last_logged = 0, "", -LOG_INTERVAL
        self.missed = 0  # lines dropped since the start
        self._thread = threading.Thread(target=self._run, name="records", daemon=True)
        self._thread.start()

    def write(self, kind: str, content: dict[str, Any] | None = None) -> None:
        """Queue a record. Never blocks and never fails; a later `gap` record reports dropped lines."""
        try:
            self._queue.put_nowait(self._line(kind, content or {}))
        except queue.Full:
            self._drop("the disk does not keep up")

    def close(self, wait: float = 1.0) -> None:
        """Write the queued records; wait up to `wait` seconds for queue space, then for the thread."""
        try:
            self._queue.put(None, timeout=wait)
        except queue.Full:
            return
        self._thread.join(wait)

    def _line(self, kind: str, content: dict[str, Any]) -> bytes:
        up = int((time.monotonic() - self._started_at) * 1e3)
        return lines.encode(kind, time.time_ns() // 1_000_000, up, content)

    def _drop(self, why: str) -> None:
        with self._drop_lock:
            self._unreported, self._drop_reason = self._unreported + 1, why
            self.missed += 1
            now = time.monotonic()
            log_now = now - self._last_logged >= LOG_INTERVAL
            if log_now:
                self._last_logged = now
        if log_now:
            log(f"records can't be written to {self._file}, serving goes on: {why}")

    def _run(self) -> None:
        while (line := self._queue.get()) is not None:
            try:
                self._append(line)
            except OSError as error:
                self._close()
                self._drop(os.strerror(error.errno) if error.errno else str(error))
        self._close()

    def _append(self, line: bytes) -> None:
        if self._fd is not None and self._size + len(line) > self._max_file_bytes:
            self._close()
            os.replace(self._file, f"{self._file}.1")
        if self._fd is None:
            self._open()
        if self._unreported:
            gap = self._unreported
            self._write_line(self._line("gap", {"lines": gap, "why": self._drop_reason}))
            with self._drop_lock:
                self._unreported -= gap
        self._write_line(line)

    def _open(self) -> None:
        self._file.parent.mkdir(parents=True, exist_ok=True)
        self._fd = os.open(self._file, os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o644)
        self._size = os.fstat(self._fd).st_size
        # The previous writer may have died in the middle of a line: the next one must not be appended to it.
        self._torn = self._size > 0 and os.pread(self._fd, 1, self._size - 1) != b"\n"
        self._write_line(self._line("header", lines.header(self._instance, os.getpid())))

    def _write_line(self, line: bytes) -> None:
        assert self._fd is not None
        line = b"\n" + line if self._torn else line
        written = os.write(self._fd, line)
        self._size += written
        self._torn = written < len(line)
        if self._torn:
            raise OSError(f"{written} of {len(line)} bytes were written")

    def _close(self) -> None:
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None

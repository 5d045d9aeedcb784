"""Claims on ids of requests whose effect must not come twice.

A request claims its id before anything of it is sent. The claim stays if the request may have run, whatever
became of its client, so that the same id is not sent again. Processes that serve the same clients one after
the other, as during an upgrade, keep their claims in one file.

A table of a fixed size holds hashes of ids, in buckets from which the oldest claim goes when one more comes.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
from pathlib import Path
from typing import Protocol

from lynxreel.log import log

CLAIMS_FILE = "lynxreel-claims"  # its name, in a folder of the processes that share it
HASH_SIZE = 8  # bytes
BUCKET_CLAIMS = 8  # claims in a bucket
BUCKET_SIZE = BUCKET_CLAIMS * HASH_SIZE  # bytes
BUCKETS = 8_192
FREE = bytes(HASH_SIZE)  # in place of a claim


class TableBusy(Exception):
    """Another process is changing the same bucket."""


class Storage(Protocol):
    """Where the buckets are."""

    def lock(self, offset: int) -> None:
        """Keep other processes from changing a bucket. Raises TableBusy, or OSError."""

    def unlock(self, offset: int) -> None:
        """Undo `lock`."""

    def read(self, offset: int) -> bytes:
        """Read a bucket. Raises OSError."""

    def write(self, offset: int, bucket: bytes) -> None:
        """Replace a bucket. Raises OSError."""


class MemoryStorage:
    """Buckets of this process alone."""

    def __init__(self) -> None:
        self._table = bytearray(BUCKETS * BUCKET_SIZE)

    def lock(self, offset: int) -> None:
        """Nobody else has access."""

    def unlock(self, offset: int) -> None:
        """Nobody else has access."""

    def read(self, offset: int) -> bytes:
        """Read a bucket."""
        return bytes(self._table[offset : offset + BUCKET_SIZE])

    def write(self, offset: int, bucket: bytes) -> None:
        """Replace a bucket."""
        self._table[offset : offset + BUCKET_SIZE] = bucket


class FileStorage:
    """Buckets in a file that processes share. A lock ends with its process."""

    def __init__(self, path: Path) -> None:
        """Raises OSError if the file can't be opened."""
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def lock(self, offset: int) -> None:
        """Lock a bucket's bytes; never waits, as the other process may be stopped."""
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, BUCKET_SIZE, offset)
        except (BlockingIOError, PermissionError):
            raise TableBusy from None

    def unlock(self, offset: int) -> None:
        """Unlock a bucket's bytes."""
        fcntl.lockf(self._file, fcntl.LOCK_UN, BUCKET_SIZE, offset)

    def read(self, offset: int) -> bytes:
        """Read a bucket; what has never been written is free."""
        return os.pread(self._file, BUCKET_SIZE, offset).ljust(BUCKET_SIZE, b"\0")

    def write(self, offset: int, bucket: bytes) -> None:
        """Replace a bucket."""
        os.pwrite(self._file, bucket, offset)


class Claims:
    """The claims of this process, and of others if they share a file."""

    def __init__(self, path: Path | None = None) -> None:
        """`path`: the file that processes share; a process without one has claims of its own."""
        self._own: Storage = MemoryStorage()
        self._shared: Storage | None = None
        self._failed = False
        if path is not None:
            try:
                self._shared = FileStorage(path)
            except OSError as error:
                self._report(error)

    def claim(self, request_id: bytes) -> bool:
        """Claim an id; False if it has been claimed, or if another process is about to."""
        digest = _digest(request_id)
        if not _insert(self._own, digest):
            return False
        if self._shared is None:
            return True
        try:
            claimed = _insert(self._shared, digest)
            self._failed = False
        except TableBusy:
            claimed = False
        except OSError as error:
            self._report(error)
            claimed = True
        if not claimed:
            _remove(self._own, digest)
        return claimed

    def release(self, request_id: bytes) -> None:
        """Give up a claim: nothing has been sent under this id that may have run."""
        digest = _digest(request_id)
        _remove(self._own, digest)
        if self._shared is not None:
            try:
                _remove(self._shared, digest)
            except TableBusy:
                pass  # it stays claimed, which is safe
            except OSError as error:
                self._report(error)

    def _report(self, error: OSError) -> None:
        """Log the first of several failures; until the file works again, this process has its own claims."""
        if not self._failed:
            log(f"ids can't be shared with other processes of this gateway: {error}")
        self._failed = True


def _digest(request_id: bytes) -> bytes:
    return hashlib.blake2b(request_id, digest_size=HASH_SIZE).digest()


def _offset(digest: bytes) -> int:
    return int.from_bytes(digest, "little") % BUCKETS * BUCKET_SIZE


def _claims_in(bucket: bytes) -> list[bytes]:
    """The claims in a bucket, the latest first."""
    claims = [bucket[start : start + HASH_SIZE] for start in range(0, BUCKET_SIZE, HASH_SIZE)]
    return [claim for claim in claims if claim != FREE]


def _insert(storage: Storage, digest: bytes) -> bool:
    """Add a claim; False if it is there already."""
    offset = _offset(digest)
    storage.lock(offset)
    try:
        claims = _claims_in(storage.read(offset))
        if digest in claims:
            return False
        storage.write(offset, b"".join([digest, *claims][:BUCKET_CLAIMS]).ljust(BUCKET_SIZE, b"\0"))
        return True
    finally:
        storage.unlock(offset)


def _remove(storage: Storage, digest: bytes) -> None:
    """Remove a claim, if it is there."""
    offset = _offset(digest)
    storage.lock(offset)
    try:
        claims = [claim for claim in _claims_in(storage.read(offset)) if claim != digest]
        storage.write(offset, b"".join(claims).ljust(BUCKET_SIZE, b"\0"))
    finally:
        storage.unlock(offset)

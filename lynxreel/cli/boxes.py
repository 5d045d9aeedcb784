"""`lynxreel boxes drain ID` and `lynxreel boxes put FILE`: one transaction on etcd each."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from lynxreel.config.deploy import etcd_options
from lynxreel.config.read import ConfigError, read
from lynxreel.etcd.client import Client, EtcdError
from lynxreel.membership.document import DocumentError, read as read_document
from lynxreel.membership.edit import EditError, drain_transaction, replace_transaction

OK, REFUSED, UNSURE, NO_ANSWER, BAD_INPUT, BAD_CONFIG = 0, 1, 4, 69, 65, 78
TRIES = 3  # where others write to the same keys in between

Work = Callable[[Client, bytes], Awaitable[str | None]]


def drain(config: Path, number: str) -> int:
    """Mark a box draining; it keeps its other fields, and its lease."""

    async def work(client: Client, prefix: bytes) -> str | None:
        key = prefix + b"boxes/" + number.encode()
        found = [kv async for _, part in client.pages(0, key) for kv in part if kv.key == key]
        asked = drain_transaction(number, found[0] if found else None)
        if asked is None:
            return f"{number} is draining already"
        answer = await client.transact(asked)
        return f"revision {answer.header.revision}: {number} is draining" if answer.succeeded else None

    return _run(config, work)


def put(config: Path, path: Path) -> int:
    """Make etcd's boxes those of a document."""
    try:
        _, boxes = read_document(path.read_bytes())
    except (OSError, DocumentError) as wrong:
        print(f"{path}: {wrong}", file=sys.stderr)
        return BAD_INPUT

    async def work(client: Client, prefix: bytes) -> str | None:
        under = prefix + b"boxes/"
        found = [kv async for _, part in client.pages(0, under) for kv in part]
        asked = replace_transaction(under, found, boxes)
        if asked is None:
            return "no change"
        answer = await client.transact(asked)
        text = f"revision {answer.header.revision}: {len(asked.success)} keys written or deleted"
        return text if answer.succeeded else None

    return _run(config, work)


def _run(config: Path, work: Work) -> int:
    try:
        file = read(config)
        if file.boxes.etcd is None:
            raise ConfigError([f"{config}: boxes.etcd: missing; mend: add it, to say where boxes are kept"])
        options = etcd_options(file.boxes.etcd)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    prefix = file.boxes.etcd.prefix.encode()

    async def run() -> str:
        client = Client(options)
        try:
            for _ in range(TRIES):
                if (text := await work(client, prefix)) is not None:
                    return text
            raise EditError("others change the same keys again and again: nothing is written")
        finally:
            client.close()

    try:
        print(asyncio.run(run()))
    except EditError as wrong:
        print(wrong, file=sys.stderr)
        return REFUSED
    except EtcdError as wrong:
        print(wrong, file=sys.stderr)
        if wrong.unsure:
            print("it may have been written all the same: see `lynxreel boxes`", file=sys.stderr)
        return UNSURE if wrong.unsure else NO_ANSWER
    return OK

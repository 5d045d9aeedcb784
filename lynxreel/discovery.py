"""The list of servers: the watch on discovery, and its reconnects."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

import h11

from mothgap.interface import ListKind, Member, Members, State
from mothgap.settings import Names

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
SILENT = 5.0  # seconds: over two of the watch's heartbeats
RETRY = 0.2  # seconds between watches
MOST_LINE = 4 * 1024 * 1024  # bytes of one line; more is no list
Address = tuple[str, int]
News = Callable[[Members, list[tuple[Member, Address]]], None]


def read_address(text: str) -> Address:
    """A host and a port."""
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) < 65_536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def read_list(
    data: Any, names: Names, kind: ListKind | None = None
) -> tuple[Members, list[tuple[Member, Address]]]:
    """A list in discovery's form: the module's event, and each server's address."""
    lines = []
    for item in data["instances"]:
        member = Member(
            server=str(item["instanceId"]),
            state=STATES[item["lifecycle"]],
            kind=names.kinds.get(item.get("machineType"), 0),
            zone=names.zones.get(item.get("zone"), 0),
            cell=int(item.get("cell", 0)),
            started_at=int(item.get("startedAtMs", 0)) * 1_000,
            weight=float(item.get("weight", 1.0)),
        )
        lines.append((member, read_address(item["hostPort"])))
    if kind is None:
        kind = ListKind.FULL if data["reset"] else ListKind.CHANGES
    return Members(kind, int(data["generation"]), tuple(member for member, _ in lines)), lines


class _Watch(asyncio.Protocol):
    """One watch, until its connection ends."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery
        self._http = h11.Connection(h11.CLIENT)
        self._line = b""
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None
        self.ended = discovery.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for what changed after the version at hand."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        target = f"/v1/servers?watch=1&from={self._discovery.version}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self._discovery.host)])
        transport.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))
        self._heard()

    def _heard(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._discovery.loop.call_later(SILENT, self.drop)

    def data_received(self, data: bytes) -> None:
        """Lines of JSON, empty ones as heartbeats; anything else ends the watch."""
        self._heard()
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    break
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise ValueError(f"status {event.status_code}")
                if isinstance(event, h11.EndOfMessage | h11.ConnectionClosed) or event is h11.PAUSED:
                    self.drop()
                    break
                if isinstance(event, h11.Data):
                    self._read(bytes(event.data))
        except (h11.RemoteProtocolError, ValueError, KeyError, TypeError, AttributeError) as wrong:
            self._discovery.log(f"discovery sent what is no watch: {wrong!r}")
            self.drop()

    def _read(self, data: bytes) -> None:
        *lines, self._line = (self._line + data).split(b"\n")
        for line in lines:
            if line.strip():
                self._discovery.take(json.loads(line))
        if len(self._line) > MOST_LINE:
            raise ValueError("a line without an end")

    def drop(self) -> None:
        """Close: silent for too long, over, or garbage."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Over; another follows."""
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        if not self.ended.done():
            self.ended.set_result(None)


class Discovery:
    """Keeps one watch open."""

    def __init__(
        self,
        address: Address,
        version: int,
        names: Names,
        news: News,
        log: Callable[[str], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.loop, self.log = loop, log
        self.host = f"{address[0]}:{address[1]}"
        self.version = version
        self.told = asyncio.Event()  # something has been heard since the start
        self._address, self._names, self._news = address, names, news
        self._task = loop.create_task(self._keep())

    def take(self, data: Any) -> None:
        """One line of the watch."""
        members, lines = read_list(data, self._names)
        self.version = members.version
        if lines or members.kind is ListKind.FULL:
            self._news(members, lines)
        self.told.set()

    async def _keep(self) -> None:
        while True:
            watch = _Watch(self)
            try:
                async with asyncio.timeout(SILENT):
                    await self.loop.create_connection(lambda watch=watch: watch, *self._address)  # type: ignore[misc]
                await watch.ended
            except (OSError, TimeoutError):
                pass
            finally:
                watch.drop()
            await asyncio.sleep(RETRY)

    def close(self) -> None:
        """The end of the process."""
        self._task.cancel()

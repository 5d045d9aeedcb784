"""The list of servers: the watch on discovery, and its reconnects."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from typing import Any, cast

import h11

from lynxreel.log import log
from lynxreel.protocol.address import Address, read_address
from lynxreel.sources.backoff import Backoff
from mothgap.interface import ListKind, Member, Members, State
from mothgap.settings import Names

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
SILENT = 5.0  # seconds: over two of the watch's heartbeats
MOST_LINE = 4 * 1024 * 1024  # bytes of one line; more is no list
NOWHERE: Address = ("", 0)
UNREADABLE = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)  # what odd JSON leads to
News = Callable[[Members, list[tuple[Member, Address]]], None]


def _read_entry(item: Any, names: Names) -> tuple[Member, Address]:
    weight = float(item.get("weight", 1.0))
    if not math.isfinite(weight):
        raise ValueError("weight")
    state = STATES[item["lifecycle"]]
    member = Member(
        server=str(item["instanceId"]),
        state=state,
        kind=names.kinds.get(item.get("machineType"), 0),
        zone=names.zones.get(item.get("zone"), 0),
        cell=int(item.get("cell", 0)),
        started_at=int(item.get("startedAtMs", 0)) * 1_000,
        weight=weight,
    )
    # One that is gone is sent nothing: wherever it was, the news must not be missed.
    return member, NOWHERE if state is State.GONE else read_address(item["hostPort"])


def read_list(
    data: Any, names: Names, kind: ListKind | None = None
) -> tuple[Members, list[tuple[Member, Address]]]:
    """A list in discovery's form: the module's event, and each server's address.

    An entry that can't be read is left out: it must not keep the others from being told, at each retry again.
    """
    lines = []
    for item in data["instances"]:
        try:
            lines.append(_read_entry(item, names))
        except UNREADABLE as wrong:
            log(f"discovery has an entry that can't be read: {wrong!r} in {str(item)[:200]}")
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

    def itself(self) -> _Watch:
        """The protocol for its connection."""
        return self

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for what changed after the version at hand."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        target = f"/v1/servers?watch=1&from={self._discovery.version}"
        host = ":".join(map(str, self._discovery.address))
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
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
        except (h11.RemoteProtocolError, RecursionError, *UNREADABLE) as wrong:
            log(f"discovery sent what is no watch: {wrong!r}")
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
        loop: asyncio.AbstractEventLoop,
        backoff: Backoff,
    ) -> None:
        self.loop = loop
        self._backoff = backoff
        self.version = version
        self.told = asyncio.Event()  # something has been heard since the start
        self.address, self._names, self._news = address, names, news
        self._watch: _Watch | None = None
        self._task = loop.create_task(self._keep())

    def adopt(self, names: Names, fleet: int) -> None:
        """Read kinds and zones by these names from now on; the fleet has so many instances."""
        self._names = names
        self._backoff.adopt(fleet)

    def move(self, address: Address) -> None:
        """Watch at another address, from the version at hand. The old watch tells on until that one is up."""
        if address == self.address:
            return
        self.address = address
        self._backoff.worked()  # nothing has failed there
        self._task.cancel()
        self._task = self.loop.create_task(self._keep())

    def take(self, data: Any) -> None:
        """One line of the watch."""
        members, lines = read_list(data, self._names)
        self.version = members.version
        if lines or members.kind is ListKind.FULL:
            self._news(members, lines)
        self.told.set()
        self._backoff.worked()

    async def _keep(self) -> None:
        while True:
            watch = _Watch(self)
            try:
                async with asyncio.timeout(SILENT):
                    await self.loop.create_connection(watch.itself, *self.address)
                before, self._watch = self._watch, watch
                if before is not None:
                    before.drop()
                await watch.ended
            except OSError:  # a time-out is one, too
                watch.drop()
            await asyncio.sleep(self._backoff.wait())

    def close(self) -> None:
        """The end of the process."""
        self._task.cancel()
        if self._watch is not None:
            self._watch.drop()

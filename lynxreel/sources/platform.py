"""The list of servers: the watches on discovery, as sockets; `freshness` decides when they are opened."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any, cast

import h11

from lynxreel.log import log
from lynxreel.protocol.address import Address, read_address
from lynxreel.sources.freshness import Action, Close, End, Freshness, Open, Terms
from lynxreel.sources.objects import Objects
from mothgap.interface import ListKind, Member, Members, State
from mothgap.settings import Names

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
CONNECT = 5.0  # seconds in which a connection comes up, or the call has failed
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

    def __init__(self, discovery: Discovery, number: int) -> None:
        self._discovery, self.number = discovery, number
        self._http = h11.Connection(h11.CLIENT)
        self._objects = Objects()
        self.version = self.asked_from = discovery.version  # of the last line; and what it was opened with
        self._transport: asyncio.Transport | None = None
        self._ended = False
        self._task = discovery.loop.create_task(self._connect(discovery.address))

    async def _connect(self, address: Address) -> None:
        try:
            async with asyncio.timeout(CONNECT):
                await self._discovery.loop.create_connection(lambda: self, *address)
        except OSError as wrong:  # a time-out is one, too
            self._end(End.UNREACHED, str(wrong))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for what changed after the version at hand."""
        self._transport = transport = cast(asyncio.Transport, transport)
        if self._ended:
            transport.abort()
            return
        self.version = self.asked_from = self._discovery.resume_from
        target = f"/v1/servers?watch=1&from={self.version}"
        host = ":".join(map(str, self._discovery.address))
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        transport.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        """Objects in JSON, and empty lines as heartbeats; anything else ends the watch."""
        try:
            self._http.receive_data(data)
            while not self._ended:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    break
                if isinstance(event, h11.Response) and event.status_code != 200:
                    self._end(End.TURNED_AWAY, f"status {event.status_code}")
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed) or event is h11.PAUSED:
                    self._end(End.LOST)
                elif isinstance(event, h11.Data):
                    self._discovery.decide.bytes(self.number, self._discovery.loop.time())
                    for read in self._objects.feed(bytes(event.data)):
                        self._discovery.take(self, read)
        except (h11.RemoteProtocolError, RecursionError, *UNREADABLE) as wrong:
            self._end(End.SPOILT, repr(wrong))

    def _end(self, how: End, why: str = "") -> None:
        if not self._ended:
            self.close()
            self._discovery.ended(self, how, why)

    def close(self) -> None:
        """Nothing that it tells counts any more."""
        self._ended = True
        self._task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Over."""
        self._end(End.LOST, "" if error is None else str(error))


class Discovery:
    """The list, kept by watches on discovery."""

    def __init__(
        self,
        address: Address,
        version: int,
        names: Names,
        news: News,
        loop: asyncio.AbstractEventLoop,
        terms: Terms,
        chance: random.Random,
    ) -> None:
        self.loop = loop
        self.decide = Freshness(terms, chance)
        self.version = version
        self._counts_anew = False  # the service has begun to count its versions from the start again
        self.told = asyncio.Event()  # something has been heard since the start
        self.address, self._names, self._news = address, names, news
        self._watches: dict[int, _Watch] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tick()

    def adopt(self, names: Names, terms: Terms) -> None:
        """Read kinds and zones by these names from now on, and call by these terms."""
        self._names = names
        self.decide.adopt(terms)
        self._tick()

    def move(self, address: Address) -> None:
        """Watch at another address, from the version at hand. The old watch tells on until one there does."""
        if address == self.address:
            return
        self.address = address
        self._follow(self.decide.moved(self.loop.time()))
        self._tick()

    @property
    def resume_from(self) -> int:
        """The version from which a new watch is asked for."""
        return 0 if self._counts_anew else self.version

    def take(self, watch: _Watch, data: Any) -> None:
        """One whole line of a watch: a part of the list, or None for a sign of life.

        A whole list replaces what is known, unless it is older than what another watch has told since this
        one was opened: then it is asked for again, as it would take back what is known. Changes up to a
        version that is known already tell nothing new: an older watch has told them. Changes that go back on
        their own watch come from a service that has begun to count anew: what it has is asked for from the
        beginning. Raises one of `UNREADABLE` where the line is no list.
        """
        if data is not None:
            members, lines = read_list(data, self._names)
            whole = members.kind is ListKind.FULL
            if not whole and members.version < watch.version:
                self._counts_anew = True
                raise ValueError(f"version {members.version} after {watch.version}")
            if whole and not self._counts_anew and watch.asked_from <= members.version < self.version:
                raise ValueError(f"a whole list of version {members.version} after {self.version}")
            if self._counts_anew and watch.asked_from == 0:
                self._counts_anew = False
                self.version = 0
            watch.version = members.version
            if whole or members.version >= self.version:
                self.version = members.version
                if lines or whole:
                    self._news(members, lines)
            self.told.set()
        self._follow(self.decide.heard(watch.number, self.loop.time()))
        self._tick()

    def ended(self, watch: _Watch, how: End, why: str) -> None:
        """A watch has ended by itself."""
        self._watches.pop(watch.number, None)
        self._follow(self.decide.ended(watch.number, how, self.loop.time(), why))
        self._tick()

    def _tick(self) -> None:
        """Do what is due, and come back when something is."""
        self._follow(self.decide.tick(self.loop.time()))
        if self._timer is not None:
            self._timer.cancel()
        due = self.decide.due()
        self._timer = None if due is None else self.loop.call_at(due, self._tick)

    def _follow(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Open):
                self._watches[action.watch] = _Watch(self, action.watch)
            elif isinstance(action, Close):
                self._watches.pop(action.watch).close()
            else:
                log(action.text)

    def close(self) -> None:
        """The end of the process."""
        if self._timer is not None:
            self._timer.cancel()
        for watch in self._watches.values():
            watch.close()

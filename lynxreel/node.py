"""One gateway, wired: the engine, its front, its servers, its counter and its source of servers."""

from __future__ import annotations

import asyncio
import gc
import random
import secrets
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lynxreel.backends.pools import Servers, ServerProtocol
from lynxreel.backends.resp2 import Resp2
from lynxreel.counters.bump import Counter
from lynxreel.engine.engine import Clock, RequestHandler, Engine
from lynxreel.engine.shutdown_report import ShutdownReport
from lynxreel.fronts.draining import DrainTimes
from lynxreel.fronts.listeners import ListenerFactory, OwnListenerFactory
from lynxreel.fronts.calls import CallRules
from lynxreel.fronts.resp2 import DEFAULT_BUFFERS, Resp2Front
from lynxreel.log import log
from lynxreel.heap import TrimPolicy, trim_heap
from lynxreel.memory_report import CHECK_INTERVAL, MemoryReport, private_memory
from lynxreel.peers.clock import FleetClock
from lynxreel.peers.datagrams import Peers
from lynxreel.protocol.address import Address
from lynxreel.relay.budget import Budget
from lynxreel.relay.client_buffers import ClientBuffers
from lynxreel.sources.addresses import AddressOwners
from lynxreel.sources.freshness import WatchPolicy as ListTerms
from lynxreel.sources.platform import NO_ADDRESS, Discovery
from mothgap.interface import ClockShift, ListKind, Member, Members, PeerMessage, Settings, State
from mothgap.settings import Names

if TYPE_CHECKING:
    from lynxreel.counters.redis import Options, RedisCounter
    from lynxreel.fronts.http import HttpConfig, HttpFront
    from lynxreel.links.mesh import Mesh
    from lynxreel.links.mesh import Plan as LinksPlan
    from lynxreel.membership.core import Publish
    from lynxreel.metering.guarded import MonitoredCounter
    from lynxreel.sources.etcd import EtcdList, EtcdSource
    from lynxreel.sources.files import FileList, WatchedFile
    from lynxreel.takeover.cover import TakeoverService
    from lynxreel.takeover.cover import TakeoverPlan
    from lynxreel.zones.shell import Plan as ZonesPlan
    from lynxreel.zones.shell import Zones

FIRST_NEWS = 0.1  # seconds that a start waits for discovery, and for the counter, before it goes on without
OWN_SOCKETS = 48  # descriptors for the counter, discovery, the loop and the standard streams
SERVER_PART = 0.25  # of the other descriptors; the rest is for clients
FALL = 2.0  # largest requests by which a total may fall at once, as others give back
Known = tuple[Members, list[tuple[Member, Address]]]


@dataclass(frozen=True)
class PeerPlan:
    """Where this gateway hears the others, and where each of them does, by number; its own among them."""

    listen: Address
    addresses: tuple[Address, ...]
    beside: bool = False  # an older process of this gateway may listen there still


@dataclass(frozen=True)
class Deployment:
    """What a gateway goes by. `names` has the places of classes and plans in `settings`."""

    settings: Settings
    names: Names
    listen: tuple[Address, ...]
    discovery: Address | FileList | EtcdList  # where the list of servers comes from
    counter: Address | Options | None
    sockets: int  # file descriptors that the process may hold
    # Places of classes and of plans by name, also of those that are out of use.
    places: tuple[dict[str, int], dict[str, int]] = ({}, {})
    beat: int = 0  # microseconds between looks whether the counter is still the one that it was; 0: none
    http: HttpConfig | None = None
    workers: int = 1  # instances behind each address
    part: float = 1.0  # of its even share of ceilings that this instance holds
    held: int = 16 << 20  # bytes that may be held of values that are passed on as they come
    client_buffers: int = DEFAULT_BUFFERS  # bytes of commands and answers held for clients
    memory: int = 0  # bytes that the process may have; 0 if that is not known
    peers: PeerPlan | None = None  # where `settings.limits.peers` allows messages between gateways
    links: LinksPlan | None = None  # who the other instances are, for those who speak to them
    takeover: TakeoverPlan | None = None  # with links: other instances keep copies of work in hand
    zones: ZonesPlan | None = None  # with links: a zone that fails is left by all together

    def make_peers(self, loop: asyncio.AbstractEventLoop) -> Peers | None:
        """This gateway's place among the others, not open yet; None where it may not speak to them."""
        if self.peers is None:
            return None
        return Peers(self.peers.addresses, self.settings.index, lambda message: None, loop)


class Node:
    """The parts, from their start to their end. It reads no file and knows no signal."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        known: Known | None,
        loop: asyncio.AbstractEventLoop,
        clock: Clock | None = None,
        doors: ListenerFactory | None = None,
        fleet_clock: FleetClock | None = None,
    ) -> None:
        """`doors`: where the fronts' listeners come from; they open them by themselves by default.

        `fleet_clock`: what asks the other gateways for the time; its clock is then this one's.
        """
        self.deployment, self._loop = deployment, loop
        self._chance = random.Random(seed)
        if fleet_clock is not None:
            clock = fleet_clock.clock
        self.engine = Engine(deployment.settings, seed, loop, clock)
        servers, clients = self._parts(deployment.sockets)
        settings, names = deployment.settings, deployment.names
        wire = self._wire(deployment)
        self._budget = budget = Budget(deployment.held)
        self.servers = Servers(self.engine, settings, names.idle_timeout, servers, loop, wire, budget)
        self.engine.backend = self.servers
        self.counter: Counter | RedisCounter | None = None
        self._counted_at: Address | Options | None = None
        self.guard: MonitoredCounter | None = None
        self._count(deployment)
        self.mesh: Mesh | None = deployment.links.mesh(loop) if deployment.links is not None else None
        self.cover: TakeoverService | None = None
        if deployment.takeover is not None and self.mesh is not None:
            from lynxreel.takeover.cover import TakeoverService  # here: only where it is configured

            self.cover = TakeoverService(deployment.takeover, self.engine, self.servers, self.mesh, loop)
            self.cover.apply_settings(settings, deployment.places)
        self.zones: Zones | None = None
        if deployment.zones is not None and self.mesh is not None:
            from lynxreel.zones.shell import Zones  # here: only where it is configured

            self.zones = Zones(deployment.zones, self.engine, self.servers, self.mesh, loop)
        desk: RequestHandler = self.cover or self.engine
        doors = doors or OwnListenerFactory(loop)
        self._buffers = buffers = ClientBuffers(deployment.client_buffers)
        self.clients = Resp2Front(desk, self._terms(deployment), clients, loop, doors, buffers)
        self.web: HttpFront | None = None
        if deployment.http is not None:  # its connections are as many again: docs/openapi.md
            back = deployment.takeover is not None
            self.web = deployment.http.create_front(desk, clients // 2, loop, doors, back, buffers)
        self.peers = fleet_clock.peers if fleet_clock is not None else deployment.make_peers(loop)
        self._fleet_clock = fleet_clock
        if self.peers is not None:
            self.engine.peers, self.peers.post = self.peers, self._peer_said
        self.shutdown: ShutdownReport | None = None  # once the process is to end
        self._addresses = AddressOwners()
        self._told = False  # the engine has heard of servers
        self._held = True  # its share, or nothing
        if deployment.part != 1.0:
            self.engine.set_ceiling_share(deployment.part)
        if known is not None:  # told of an empty list, the module would take its fleet for a huge one
            self._news(*known)
        version = 0 if known is None else known[0].version
        self.source = self._source(deployment.discovery, version)
        self._memory_report = MemoryReport(deployment.memory)
        self._trim_policy = TrimPolicy(deployment.memory)
        self._memory_timer: asyncio.TimerHandle | None = None
        self._listening = False
        self._binding = asyncio.Lock()  # a start and a change of the listeners must not cross

    def _peer_said(self, message: PeerMessage) -> None:
        """What another gateway says."""
        if self._fleet_clock is None or not self._fleet_clock.on_message(message):
            self.engine.post(message)

    @staticmethod
    def _terms(deployment: Deployment) -> CallRules:
        back = deployment.takeover is not None
        return CallRules.from_settings(deployment.settings, deployment.names, deployment.workers, back)

    @staticmethod
    def _wire(deployment: Deployment) -> ServerProtocol:
        """What servers speak."""
        if deployment.http is None or not deployment.http.http_boxes:
            return Resp2()
        from lynxreel.backends.http import Http  # here: only where servers speak it

        return Http()

    @staticmethod
    def _list_terms(settings: Settings) -> ListTerms:
        """Lists that are pushed lie at an agent on this machine; others have to be asked for."""
        agent, within = not settings.ask_for_list, settings.safety.ask_within / 1e6
        return ListTerms(agent, settings.fleet_size, within)

    def _source(
        self, place: Address | FileList | EtcdList, version: int
    ) -> Discovery | WatchedFile | EtcdSource:
        if isinstance(place, tuple):
            terms = self._list_terms(self.deployment.settings)
            return Discovery(
                place, version, self.deployment.names, self._news, self._loop, terms, self._chance
            )
        return place.source(self._published, self._loop)

    def _published(self, news: Publish) -> None:
        """What a membership core lets through."""
        names = self.deployment.names
        lines = [(Member(number, State.GONE), NO_ADDRESS) for number in news.removed]
        for box in sorted(news.changed, key=lambda box: box.state is State.READY):  # drains first
            kind, zone = names.kinds.get(box.kind, 0), names.zones.get(box.zone, 0)
            member = Member(box.id, box.state, kind, zone, box.cell, box.started, box.weight)
            lines.append((member, box.address))
        kind_of = ListKind.CHANGES if self._told else ListKind.FULL
        self._told = True
        self._news(Members(kind_of, news.revision, tuple(member for member, _ in lines)), lines)

    @staticmethod
    def _parts(sockets: int) -> tuple[int, int]:
        """Descriptors for connections to servers, and for clients."""
        most = int((sockets - OWN_SOCKETS) * SERVER_PART)
        return most, sockets - OWN_SOCKETS - most

    def _news(self, members: Members, lines: list[tuple[Member, Address]]) -> None:
        before = self._addresses.displaced
        members, lines = self._addresses.resolve(members, lines)
        for server, other in self._addresses.displaced.items():
            if server not in before:
                log(f"{server} is not used: the list has {other} at its address, which came later")
        self.servers.update(lines, members.kind is not ListKind.CHANGES)
        self.engine.update_members(members)
        if self.zones is not None:
            self.zones.listed(members)

    def _count(self, deployment: Deployment) -> None:
        """Call the counter that the deployment names."""
        told, address = deployment.settings.counter, deployment.counter
        if told is None or address is None:
            return  # one that was called before still takes what is to be settled
        if isinstance(self.counter, Counter) and isinstance(address, tuple):
            self.counter.set_address(address)  # its open calls end where they are
        elif self.counter is None or address != self._counted_at:
            self._connect(deployment, address, told.time_limit)
        if self.counter is not None:
            self.counter.set_time_limit(told.time_limit)
        self._counted_at = address

    def _connect(self, deployment: Deployment, address: Address | Options, time_limit: int) -> None:
        """Call another counter from now on."""
        if deployment.beat and self.guard is None:
            self.guard = self._guard(deployment, time_limit)
        post = self.engine.post if self.guard is None else self.guard.on_answer
        before = self.counter
        if before is not None:
            before.close()
        if isinstance(address, tuple):
            self.counter = Counter(address, time_limit, post, self._loop)
        else:
            # Imported here: it needs libraries that the platform's program does not have.
            from lynxreel.counters.redis import RedisCounter

            clock = self.engine.clock
            self.counter = RedisCounter(address, time_limit, post, self._loop, clock.now, self._shift)
        if self.guard is None:
            self.engine.counter = self.counter
            return
        self.engine.counter, self.guard.counter = self.guard, self.counter
        if before is None:
            self.guard.start()

    def _shift(self, offset: int) -> None:
        """The clock that all gateways share, the counter's own or the fleet's, is so far ahead."""
        self.engine.post(ClockShift(offset))

    def _guard(self, deployment: Deployment, time_limit: int) -> MonitoredCounter:
        # Imported here: the platform's program has no guard, and does not pay for one.
        from lynxreel.metering.guarded import MonitoredCounter
        from lynxreel.metering.trust import CounterMonitor

        clock, settings = self.engine.clock, deployment.settings
        fall = FALL * settings.units_top
        trust = CounterMonitor(secrets.randbits(36), time_limit, deployment.beat, fall, clock.now())
        return MonitoredCounter(trust, self.engine.post, clock.now, self._loop)

    async def start(self, patience: float | None = FIRST_NEWS) -> None:
        """Wait so many seconds, or for good, for news of the servers; then take clients.

        Raises an OSError where an address is taken.
        """
        await self.join()
        reaching = self._loop.create_task(self._reach())
        await self.warm(patience)
        await reaching
        await self.open()
        gc.freeze()  # what the start has made lives on: collections need not look at it again
        if self.deployment.memory:
            self._check_memory()

    def _check_memory(self) -> None:
        """Tell what memory is held for, once it is much; give back what has been freed."""
        try:
            private = private_memory()
            if self._trim_policy.is_due(private, self._held_bytes):
                trim_heap()
                self._trim_policy.trimmed(private_memory(), self._held_bytes)
        except (OSError, ValueError) as error:
            log(f"memory can't be measured, and is not reported any more: {error}")
            return
        if line := self._memory_report.check(private, self._memory_holders):
            log(line)
        self._memory_timer = self._loop.call_later(CHECK_INTERVAL, self._check_memory)

    @property
    def _held_bytes(self) -> int:
        """Bytes that are held for clients and servers."""
        return self._buffers.held + self._budget.buffered

    def _memory_holders(self) -> dict[str, object]:
        """What memory is held for: numbers, or bytes."""
        buffers = self._buffers
        return {
            "connections": self.connections,
            "open requests": self.engine.pending_requests(),
            "bytes of commands and answers": f"{buffers.held} of {buffers.limit}",
            "of these not taken": buffers.input,
            "refused for lack of room": buffers.refused,
            "bytes of large values": f"{self._budget.buffered} of {self._budget.limit}",
            "connections to servers": self.servers.open,
            "customers": self.engine.customer_count(),
        }

    async def join(self) -> None:
        """Hear and be heard by the other instances. Raises an OSError where an address is taken."""
        if self.peers is not None and self.deployment.peers is not None:
            await self.peers.open(self.deployment.peers.listen, self.deployment.peers.beside)
        if self._fleet_clock is not None:
            self._fleet_clock.follow(self._shift)
        if self.mesh is not None:
            await self.mesh.open()
        if self.zones is not None:
            await self.zones.open()

    def hold(self, held: bool) -> None:
        """Hold this instance's share of ceilings from now on, or hand all of it back."""
        self._held = held
        self.engine.set_ceiling_share(self.deployment.part if held else 0.0)

    async def warm(self, patience: float | None) -> None:
        """Wait so many seconds, or for good, for news of the servers."""
        with suppress(TimeoutError):
            async with asyncio.timeout(patience):
                await self.source.ready.wait()

    async def _reach(self) -> None:
        """Wait a moment for the counter: calls before that fail, and a few of these count as its absence."""
        if isinstance(self.counter, Counter):
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_NEWS):
                    await self.counter.connected.wait()

    @property
    def lacks(self) -> str:
        """Without what it would refuse all that it takes; nothing where it can serve."""
        return "" if self.servers.has_ready_server else "no servers"

    async def open(self) -> None:
        """Take clients. Raises an OSError where an address is taken."""
        async with self._binding:
            if self._listening:
                return
            await self._listen(self.deployment.listen)
            self._listening = True
            if self.web is not None and self.deployment.http is not None:
                for address in self.deployment.http.listen:
                    await self.web.listen(*address)

    async def shut(self) -> None:
        """Take no new clients until `open`; those that are here are served."""
        async with self._binding:
            if not self._listening:
                return
            self._listening = False
            await self.clients.unlisten()
            if self.web is not None:
                await self.web.unlisten()

    async def _listen(self, addresses: tuple[Address, ...]) -> None:
        """At all of these, or at none."""
        bound: list[Address] = []
        try:
            for address in addresses:
                await self.clients.listen(*address)
                bound.append(address)
        except OSError:
            if bound:
                await self.clients.unlisten(*bound)
            raise

    def move(self, discovery: Address, counter: Address | None) -> None:
        """Go by other addresses."""
        if isinstance(self.source, Discovery):
            self.source.set_address(discovery)
        if isinstance(self.counter, Counter) and counter is not None:
            self.counter.set_address(counter)

    async def adopt(self, deployment: Deployment) -> None:
        """Go by another deployment, whole; on an OSError (an address is taken) nothing has changed."""
        async with self._binding:
            before = self.deployment.listen if self._listening else deployment.listen
            await self._listen(tuple(address for address in deployment.listen if address not in before))
            settings, names = deployment.settings, deployment.names
            servers, clients = self._parts(deployment.sockets)
            self._count(deployment)
            if deployment.part != self.deployment.part and self._held:
                if deployment.part < self.deployment.part:
                    # customers come to other gateways: what was saved up goes, too
                    self.engine.set_ceiling_share(0.0)
                self.engine.set_ceiling_share(deployment.part)
            self.engine.apply_settings(settings)
            self.servers.apply_settings(settings, names.idle_timeout, servers)
            if self.cover is not None:
                self.cover.apply_settings(settings, deployment.places)
            self.clients.reconfigure(self._terms(deployment), clients)
            if self.web is not None and deployment.http is not None:
                self.web.reconfigure(deployment.http.serving)
            if isinstance(self.source, Discovery) and isinstance(deployment.discovery, tuple):
                self.source.reconfigure(names, self._list_terms(settings))
                self.source.set_address(deployment.discovery)
            self.deployment = deployment
            gone = [address for address in before if address not in deployment.listen]
            if gone:
                await self.clients.unlisten(*gone)

    @property
    def serves(self) -> bool:
        """A listener is open, or connections that it took are."""
        return bool(self.clients.addresses or self.connections)

    @property
    def connections(self) -> int:
        """Of clients, on all fronts."""
        return len(self.clients.connections) + (len(self.web.connections) if self.web is not None else 0)

    def set_aside(self) -> None:
        """Keep no client until `take_back`: those that are here are served, and those that come are told."""
        self.clients.suspend()
        if self.web is not None:
            self.web.draining.suspend()

    def take_back(self) -> None:
        """Clients are welcome again."""
        self.clients.resume()
        if self.web is not None:
            self.web.draining.resume()

    def follow_shutdown(self, state: str) -> ShutdownReport:
        """The process is to end and has entered this state: from now on it tells what becomes of requests."""
        if self.shutdown is None:
            self.shutdown = ShutdownReport(self._loop.time, log)
            self.engine.shutdown = self.clients.report = self.shutdown
            if self.web is not None:
                self.web.report = self.shutdown
        self.shutdown.state(state, self.connections, self.engine.pending_requests())
        return self.shutdown

    def stop(self, refuse_after: float, answer_by: float) -> None:
        """Refuse what comes after so many seconds, and answer everything within so many."""
        self.engine.stop(max(0.0, refuse_after), max(0.0, answer_by))
        self.clients.refuse_after(max(0.0, refuse_after))

    async def drain(self, times: DrainTimes) -> None:
        """End all fronts, each connection as soon as nothing is owed on it."""
        fronts = [self.clients.drain(times)]
        if self.web is not None:
            fronts.append(self.web.drain(times))
        await asyncio.gather(*fronts)
        if self.cover is not None:
            await self.cover.hand_off()

    def is_sending(self) -> bool:
        """Whether answers are being sent to clients that read them."""
        return self.clients.is_sending() or (self.web is not None and self.web.is_sending())

    def boxes(self) -> dict[str, object]:
        """What is believed of the servers and why, for the operators."""
        if isinstance(self.source, Discovery):
            return {"source": "discovery", "revision": self.source.version, "boxes": self.servers.view()}
        view = self.source.membership.view(self._loop.time())
        return {**self.source.view(), **view}

    def approve(self) -> str:
        """Follow the source as it stands, however much that takes away; what had been held."""
        if isinstance(self.source, Discovery):
            return ""
        held = self.source.membership.held
        self.source.approve()
        return held

    @property
    def longest(self) -> float:
        """Seconds after which each request has had its answer."""
        return max(cls.deadline for cls in self.deployment.settings.classes) / 1e6

    def close(self) -> None:
        """The end: nothing is owed any more."""
        if self._memory_timer is not None:
            self._memory_timer.cancel()
        self.source.close()
        self.servers.close()
        self.clients.draining.close()
        if self.web is not None:
            self.web.close()
        if self.guard is not None:
            self.guard.close()
        if self._fleet_clock is not None:
            self._fleet_clock.close()
        if self.peers is not None:
            self.peers.close()
        if self.counter is not None:
            self.counter.close()
        if self.cover is not None:
            self.cover.close()
        if self.zones is not None:
            self.zones.close()
        if self.mesh is not None:
            self.mesh.close()  # last: whoever finds its address closed takes this instance for dead

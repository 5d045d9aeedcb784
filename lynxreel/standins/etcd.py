"""A stand-in for etcd v3 over gRPC: KV, Watch, Lease, Auth, and of Cluster and Maintenance what clients ask.

One member, whose store is `etcd_store.Store`. Faults by script, besides those of the wire (`proxy.Proxy`):
QUORUM (no call is answered, nothing is committed, no lease ends), MUTE (calls are answered, open watches say
nothing, not even their progress), COMPACT (a write is followed by a compaction up to it), LATE (leases end
`delay` late). `written` tells when each revision went to each watcher.
"""

from __future__ import annotations

import asyncio
import random
import socket
import ssl
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.standins.base import Clock
from lynxreel.standins.etcd_store import COMPACTED, Store, StoreError, size
from lynxreel.standins.faults import Faults, Kind
from lynxreel.standins.proxy import Proxy

LOOK = 0.05  # seconds between looks for leases that end
Serve = Callable[[Any], Awaitable[None]]


@dataclass
class _Watcher:
    """One watch of a stream."""

    number: int
    asked: pb.WatchCreateRequest
    next: int  # the revision from which on it has been told nothing


class Etcd:
    """One etcd. `users` are name and password; with any, each call wants a token."""

    def __init__(
        self,
        faults: Faults,
        clock: Clock,
        seed: int = 1,
        users: dict[str, str] | None = None,
        tls: ssl.SSLContext | None = None,
        token_life: float = 300.0,
        fragment_bytes: int = 1_500_000,
    ) -> None:
        self.store = Store(clock.now, seed)
        self.store.changed = self._changed
        self.users, self.token_life = users or {}, token_life
        self.fragment_bytes = fragment_bytes
        self.written: deque[tuple[int, int, float]] = deque(maxlen=200_000)  # stream, revision, when
        self.ranges = self.streams = self.open_streams = self.asked_progress = 0
        self._tokens: dict[str, float] = {}
        self._faults, self._clock, self._tls = faults, clock, tls
        self._random = random.Random(seed)
        self._news = asyncio.Event()
        self._server = Server([self])
        self._leases: asyncio.Task[None] | None = None
        self.proxy: Proxy
        self._seed = seed

    @property
    def address(self) -> tuple[str, int]:
        """Where clients reach it, through the wire."""
        return self.proxy.listener.address

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Serve."""
        inner = socket.create_server(("127.0.0.1", 0))
        target = inner.getsockname()[:2]
        await self._server.start(sock=inner, ssl=self._tls)
        self.proxy = Proxy("wire", target, self._faults, self._clock, self._seed)
        await self.proxy.listener.open(host, port)
        self._leases = asyncio.get_running_loop().create_task(self._end_leases())

    def close(self) -> None:
        """The end."""
        if self._leases is not None:
            self._leases.cancel()
        self.proxy.listener.close()
        self._server.close()

    # --- faults -----------------------------------------------------------------------------------------

    def _struck(self, kind: Kind) -> float | None:
        """The delay of a fault of this kind that is on now; None where there is none."""
        fault = self._faults.pick("etcd", self._clock.now(), (kind,))
        return fault.delay if fault is not None else None

    async def _held_up(self) -> None:
        """Wait while it is slow, and while there is no quorum: a client sees no answer."""
        await asyncio.sleep(self._struck(Kind.SLOW) or 0.0)
        while self._struck(Kind.QUORUM) is not None:
            await asyncio.sleep(LOOK)

    def ledger(self) -> dict[str, Any]:
        """What it has been asked, and when it told what to whom (stream, revision, seconds)."""
        return {
            "revision": self.store.revision, "compacted": self.store.compacted, "ranges": self.ranges,
            "streams": self.streams, "open_streams": self.open_streams, "cuts": self.proxy.cuts,
            "progress_asked": self.asked_progress, "written": [list(entry) for entry in self.written],
        }  # fmt: skip

    def restore(self, revision: int) -> None:
        """Come back with the state of an older revision; all connections end."""
        self.store.restore(revision)
        self.proxy.cut()

    def expire_tokens(self) -> None:
        """All tokens end now."""
        self._tokens.clear()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            if self._struck(Kind.QUORUM) is None:
                self.store.expire(self._struck(Kind.LATE) or 0.0)

    def _changed(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    # --- calls ------------------------------------------------------------------------------------------

    def __mapping__(self) -> dict[str, Handler]:
        """Paths, for the server."""
        store = self.store
        unary: dict[str, tuple[Callable[[Any], Any], type]] = {
            "KV/Range": (self._range, pb.RangeRequest),
            "KV/Put": (self._write(store.put), pb.PutRequest),
            "KV/DeleteRange": (self._write(store.delete), pb.DeleteRangeRequest),
            "KV/Txn": (self._write(store.transact), pb.TxnRequest),
            "KV/Compact": (self._compact, pb.CompactionRequest),
            "Lease/LeaseGrant": (self._grant, pb.LeaseGrantRequest),
            "Lease/LeaseRevoke": (self._revoke, pb.LeaseRevokeRequest),
            "Lease/LeaseTimeToLive": (self._time_to_live, pb.LeaseTimeToLiveRequest),
            "Lease/LeaseLeases": (self._list_leases, pb.LeaseLeasesRequest),
            "Cluster/MemberList": (self._members, pb.MemberListRequest),
            "Maintenance/Status": (self._status, pb.StatusRequest),
        }
        found = {f"/etcdserverpb.{path}": self._unary(call, kind) for path, (call, kind) in unary.items()}
        both = Cardinality.STREAM_STREAM
        found["/etcdserverpb.Auth/Authenticate"] = Handler(
            self._authenticate, Cardinality.UNARY_UNARY, pb.AuthenticateRequest, pb.AuthenticateResponse
        )
        found["/etcdserverpb.Watch/Watch"] = Handler(self._watch, both, pb.WatchRequest, pb.WatchResponse)
        found["/etcdserverpb.Lease/LeaseKeepAlive"] = Handler(
            self._keep_alive, both, pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse
        )
        return found

    def _unary(self, call: Callable[[Any], Any], kind: type) -> Handler:
        async def serve(stream: Any) -> None:
            asked = await stream.recv_message()
            await self._held_up()
            self._allow(stream)
            try:
                answer = call(asked)
            except StoreError as wrong:
                raise GRPCError(Status[wrong.status], str(wrong)) from None
            await stream.send_message(answer)

        answers = getattr(pb, kind.__name__.replace("Request", "Response"))
        return Handler(serve, Cardinality.UNARY_UNARY, kind, answers)

    def _allow(self, stream: Any) -> None:
        if not self.users:
            return
        token = stream.metadata.get("token", "")
        if not token:
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: user name is empty")
        if self._tokens.get(token, 0.0) <= self._clock.now():
            raise GRPCError(Status.UNAUTHENTICATED, "etcdserver: invalid auth token")

    async def _authenticate(self, stream: Any) -> None:
        asked = await stream.recv_message()
        await self._held_up()
        if not self.users:
            raise GRPCError(Status.FAILED_PRECONDITION, "etcdserver: authentication is not enabled")
        if self.users.get(asked.name) != asked.password:
            wrong = "etcdserver: authentication failed, invalid user ID or password"
            raise GRPCError(Status.INVALID_ARGUMENT, wrong)
        token = f"{self._random.randrange(1 << 64):016x}.{self.store.revision}"
        self._tokens[token] = self._clock.now() + self.token_life
        await stream.send_message(pb.AuthenticateResponse(header=self.store.header(), token=token))

    def _write(self, call: Callable[[Any], Any]) -> Callable[[Any], Any]:
        def write(asked: Any) -> Any:
            before = self.store.revision
            answer = call(asked)
            if self.store.revision > before and self._struck(Kind.COMPACT) is not None:
                self.store.compact(self.store.revision)
            return answer

        return write

    def _range(self, asked: pb.RangeRequest) -> pb.RangeResponse:
        self.ranges += 1
        return self.store.range(asked)

    def _compact(self, asked: pb.CompactionRequest) -> pb.CompactionResponse:
        self.store.compact(asked.revision)
        return pb.CompactionResponse(header=self.store.header())

    def _grant(self, asked: pb.LeaseGrantRequest) -> pb.LeaseGrantResponse:
        number, ttl = self.store.grant(asked.ID, asked.TTL)
        return pb.LeaseGrantResponse(header=self.store.header(), ID=number, TTL=ttl)

    def _revoke(self, asked: pb.LeaseRevokeRequest) -> pb.LeaseRevokeResponse:
        self.store.revoke(asked.ID)
        return pb.LeaseRevokeResponse(header=self.store.header())

    def _time_to_live(self, asked: pb.LeaseTimeToLiveRequest) -> pb.LeaseTimeToLiveResponse:
        answer = pb.LeaseTimeToLiveResponse(header=self.store.header(), ID=asked.ID, TTL=-1)
        lease = self.store.leases.get(asked.ID)
        if lease is not None:
            answer.TTL, answer.grantedTTL = max(0, int(lease.until - self._clock.now())), lease.ttl
            answer.keys.extend(sorted(lease.keys) if asked.keys else [])
        return answer

    def _list_leases(self, asked: pb.LeaseLeasesRequest) -> pb.LeaseLeasesResponse:
        leases = [pb.LeaseStatus(ID=number) for number in self.store.leases]
        return pb.LeaseLeasesResponse(header=self.store.header(), leases=leases)

    def _members(self, asked: pb.MemberListRequest) -> pb.MemberListResponse:
        host, port = self.address
        me = pb.Member(ID=self.store.member, name="standin", clientURLs=[f"http://{host}:{port}"])
        return pb.MemberListResponse(header=self.store.header(), members=[me])

    def _status(self, asked: pb.StatusRequest) -> pb.StatusResponse:
        store = self.store
        return pb.StatusResponse(
            header=store.header(),
            version="3.5.0",
            leader=store.member,
            raftIndex=store.revision,
            raftTerm=2,
        )

    async def _keep_alive(self, stream: Any) -> None:
        self._allow(stream)
        async for asked in stream:
            await self._held_up()
            ttl = self.store.keep_alive(asked.ID)
            answer = pb.LeaseKeepAliveResponse(header=self.store.header(), ID=asked.ID, TTL=ttl)
            await stream.send_message(answer)

    # --- watches ----------------------------------------------------------------------------------------

    async def _watch(self, stream: Any) -> None:
        await stream.send_initial_metadata()
        self._allow(stream)
        self.streams += 1
        self.open_streams += 1
        watch = _Watch(self, stream, self.streams)
        pump = asyncio.get_running_loop().create_task(watch.pump())
        try:
            async for asked in stream:
                await watch.take(asked)
        except StreamTerminatedError:
            pass
        finally:
            self.open_streams -= 1
            pump.cancel()


def server_tls(certificate: Path, key: Path | None, ca: Path | None) -> ssl.SSLContext:
    """A server's context; with `ca`, clients must show a certificate of its. Raises OSError."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=ca)
    context.load_cert_chain(certificate, key)
    context.set_alpn_protocols(["h2"])
    if ca is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


class _Watch:
    """One stream's watchers. Only `pump` tells events, so their order is that of the revisions."""

    def __init__(self, etcd: Etcd, stream: Any, number: int) -> None:
        self._etcd, self._stream, self._number = etcd, stream, number
        self._watchers: dict[int, _Watcher] = {}
        self._writing = asyncio.Lock()
        self._numbers = 0

    async def take(self, asked: pb.WatchRequest) -> None:
        """A request of the client."""
        etcd, which = self._etcd, asked.WhichOneof("request_union")
        await etcd._held_up()
        if which == "create_request":
            create = asked.create_request
            number = create.watch_id or self._numbers
            self._numbers = max(self._numbers, number) + 1
            start = create.start_revision or etcd.store.revision + 1
            created = pb.WatchResponse(header=etcd.store.header(), watch_id=number, created=True)
            await self._send(created)
            self._watchers[number] = _Watcher(number, create, start)
            etcd._changed()
        elif which == "cancel_request":
            if self._watchers.pop(asked.cancel_request.watch_id, None) is not None:
                gone = pb.WatchResponse(header=etcd.store.header(), canceled=True)
                gone.watch_id = asked.cancel_request.watch_id
                await self._send(gone)
        elif which == "progress_request":
            etcd.asked_progress += 1
            if etcd._struck(Kind.MUTE) is None:
                async with self._writing:  # after all events of the revision that it tells
                    await self._flush()
                    await self._stream.send_message(pb.WatchResponse(header=etcd.store.header(), watch_id=-1))

    async def _send(self, answer: pb.WatchResponse) -> None:
        async with self._writing:
            await self._stream.send_message(answer)

    async def pump(self) -> None:
        """Tell what is new, again and again."""
        etcd = self._etcd
        while True:
            news = etcd._news
            if etcd._struck(Kind.MUTE) is None and etcd._struck(Kind.QUORUM) is None:
                try:
                    async with self._writing:
                        await self._flush()
                except (StreamTerminatedError, ConnectionError):
                    return
            try:
                async with asyncio.timeout(1.0):
                    await news.wait()
            except TimeoutError:
                pass

    async def _flush(self) -> None:
        etcd, store = self._etcd, self._etcd.store
        for watcher in list(self._watchers.values()):
            if watcher.next < store.compacted:
                del self._watchers[watcher.number]
                await self._stream.send_message(pb.WatchResponse(
                    header=store.header(), watch_id=watcher.number, canceled=True,
                    compact_revision=store.compacted, cancel_reason=f"etcdserver: {COMPACTED[1]}",
                ))  # fmt: skip
                continue
            asked = watcher.asked
            found = store.since(watcher.next, asked.key, asked.range_end)
            watcher.next = max(watcher.next, store.revision + 1)
            events = [event for _, part in found for event in part if _wanted(asked, event)]
            for revision, _ in found:
                etcd.written.append((self._number, revision, etcd._clock.now()))
            await self._tell(watcher, events)

    async def _tell(self, watcher: _Watcher, events: list[pb.Event]) -> None:
        """One message, or fragments of one where it is large and the client takes them."""
        parts: list[list[pb.Event]] = [[]]
        for event in events:
            told = pb.Event(type=event.type, kv=event.kv)
            if watcher.asked.prev_kv and event.HasField("prev_kv"):
                told.prev_kv.CopyFrom(event.prev_kv)
            most = self._etcd.fragment_bytes
            if watcher.asked.fragment and parts[-1] and size([*parts[-1], told]) > most:
                parts.append([])
            parts[-1].append(told)
        for number, part in enumerate(parts):
            if part:
                more = number < len(parts) - 1
                header = self._etcd.store.header()
                answer = pb.WatchResponse(header=header, watch_id=watcher.number, events=part, fragment=more)
                await self._stream.send_message(answer)


def _wanted(asked: pb.WatchCreateRequest, event: pb.Event) -> bool:
    dropped = pb.WatchCreateRequest.NOPUT if event.type == pb.Event.PUT else pb.WatchCreateRequest.NODELETE
    return dropped not in asked.filters

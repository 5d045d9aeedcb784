"""An asyncio client of etcd v3 on grpclib: paged ranges, a watch stream, transactions and lease grants.

Every failure is raised as an EtcdError whose text names the cause. Calls are not retried here, except one
whose token has expired: etcd rejects it before anything is executed.
"""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, TypeVar

from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.protocol.address import Address

PAGE = 500  # keys per page of a list
CALL_TIMEOUT = 5.0  # seconds, timeout of one call
FOLLOW_TIMEOUT = 30.0  # seconds, the same for a source that gives up a call itself if it takes too long
UNSURE = (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED, Status.UNKNOWN, Status.INTERNAL)
Answer = TypeVar("Answer")


class EtcdError(Exception):
    """A call failed. `unsure`: it may have been executed nevertheless."""

    def __init__(self, why: str, unsure: bool = False) -> None:
        self.unsure = unsure
        super().__init__(why)


class Compacted(EtcdError):
    """The requested revision has been compacted."""


@dataclass(frozen=True)
class Tls:
    """TLS settings: paths of PEM files, empty for none."""

    ca: str = ""
    certificate: str = ""
    key: str = ""
    server_name: str = ""

    def context(self) -> ssl.SSLContext:
        """Return the SSL context. Raises OSError if a file can't be used."""
        context = ssl.create_default_context(cafile=self.ca or None)
        context.set_alpn_protocols(["h2"])
        if self.certificate:
            context.load_cert_chain(self.certificate, self.key or None)
        return context


@dataclass(frozen=True)
class Options:
    """Endpoints and credentials of a cluster."""

    endpoints: tuple[Address, ...]
    username: str = ""
    password: str = ""
    tls: Tls | None = None


def prefix_range_end(prefix: bytes) -> bytes:
    """Return the end of the range of all keys with this prefix."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"


class Stream:
    """An open watch stream."""

    def __init__(self, inner: Any) -> None:
        self._inner = inner

    async def receive(self) -> pb.WatchResponse:
        """Return the next message. Raises EtcdError at the end of the stream."""
        message = await self._inner.recv_message()
        if message is None:
            raise EtcdError("the stream has ended")
        found: pb.WatchResponse = message
        return found

    async def ask(self) -> None:
        """Request a progress notification."""
        await self._inner.send_message(pb.WatchRequest(progress_request=pb.WatchProgressRequest()))


class Client:
    """Calls the endpoints of one cluster, with one connection per endpoint."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._context = options.tls.context() if options.tls is not None else None
        self._channels: dict[int, Channel] = {}
        self._token = ""

    def drop(self, endpoint: int) -> None:
        """Close the connection to an endpoint; the next call opens a new one."""
        channel = self._channels.pop(endpoint, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all connections."""
        for endpoint in list(self._channels):
            self.drop(endpoint)

    def _channel(self, endpoint: int) -> Channel:
        if endpoint not in self._channels:
            host, port = self._options.endpoints[endpoint]
            name = self._options.tls.server_name if self._options.tls is not None else ""
            config = Configuration(ssl_target_name_override=name or None)
            self._channels[endpoint] = Channel(host, port, ssl=self._context, config=config)
        return self._channels[endpoint]

    async def _metadata(self, endpoint: int, timeout: float) -> dict[str, str]:
        if self._options.username and not self._token:
            request = pb.AuthenticateRequest(name=self._options.username, password=self._options.password)
            call = UnaryUnaryMethod(
                self._channel(endpoint),
                "/etcdserverpb.Auth/Authenticate",
                pb.AuthenticateRequest,
                pb.AuthenticateResponse,
            )
            self._token = (await call(request, timeout=timeout)).token
        return {"token": self._token} if self._token else {}

    async def _call(
        self, endpoint: int, path: str, request: Any, answer: type[Answer], timeout: float
    ) -> Answer:
        async def attempt() -> Answer:
            metadata = await self._metadata(endpoint, timeout)
            method = UnaryUnaryMethod(self._channel(endpoint), path, type(request), answer)
            return await method(request, timeout=timeout, metadata=metadata)

        async def attempt_with_token_renewal() -> Answer:
            try:
                return await attempt()
            except GRPCError as error:
                if not is_token_expired(error):
                    raise
                self._token = ""
                return await attempt()

        return await translate_errors(attempt_with_token_renewal)

    async def pages(
        self, endpoint: int, prefix: bytes, page: int = PAGE, timeout: float = CALL_TIMEOUT
    ) -> AsyncIterator[tuple[pb.ResponseHeader, list[pb.KeyValue]]]:
        """Yield all keys under a prefix page by page, as of the revision in the first page's header.

        `timeout` is in seconds, for each page.
        """
        key, end, revision = prefix, prefix_range_end(prefix), 0
        while True:
            request = pb.RangeRequest(key=key, range_end=end, limit=page, revision=revision)
            path = "/etcdserverpb.KV/Range"
            found = await self._call(endpoint, path, request, pb.RangeResponse, timeout)
            revision = revision or found.header.revision
            yield found.header, list(found.kvs)
            if not found.more or not found.kvs:
                return
            key = found.kvs[-1].key + b"\0"

    async def transact(self, request: pb.TxnRequest) -> pb.TxnResponse:
        """Run a transaction at the first endpoint that can be reached.

        After a failure in which it may have been executed, it is not sent to another endpoint.
        """
        errors = []
        for endpoint in range(len(self._options.endpoints)):
            try:
                path = "/etcdserverpb.KV/Txn"
                return await self._call(endpoint, path, request, pb.TxnResponse, CALL_TIMEOUT)
            except EtcdError as error:
                if error.unsure:
                    raise
                host, port = self._options.endpoints[endpoint]
                errors.append(f"{host}:{port}: {error}")
        raise EtcdError("; ".join(errors))

    async def grant(self, seconds: int) -> int:
        """Grant a lease of so many seconds at the first endpoint that can be reached; return its id."""
        request, errors = pb.LeaseGrantRequest(TTL=seconds), []
        for endpoint in range(len(self._options.endpoints)):
            try:
                path = "/etcdserverpb.Lease/LeaseGrant"
                return (await self._call(endpoint, path, request, pb.LeaseGrantResponse, CALL_TIMEOUT)).ID
            except EtcdError as error:
                errors.append(str(error))  # a lease that was granted without an answer expires by itself
        raise EtcdError("; ".join(errors))

    @asynccontextmanager
    async def watch(self, endpoint: int, prefix: bytes, revision: int) -> AsyncIterator[Stream]:
        """Open a stream of all changes under a prefix from a revision on."""
        metadata = await translate_errors(lambda: self._metadata(endpoint, FOLLOW_TIMEOUT))
        method = StreamStreamMethod(
            self._channel(endpoint), "/etcdserverpb.Watch/Watch", pb.WatchRequest, pb.WatchResponse
        )
        create = pb.WatchCreateRequest(
            key=prefix,
            range_end=prefix_range_end(prefix),
            start_revision=revision,
            progress_notify=True,
            fragment=True,
        )
        try:
            async with method.open(metadata=metadata) as inner:
                await inner.send_message(pb.WatchRequest(create_request=create))
                yield Stream(inner)
                await inner.cancel()
        except (GRPCError, StreamTerminatedError, ProtocolError, OSError) as error:
            raise self._translate(error) from error

    def _translate(self, error: Exception) -> EtcdError:
        if isinstance(error, GRPCError) and is_token_expired(error):
            self._token = ""
        return to_etcd_error(error)

    def forget_token(self) -> None:
        """Discard the token; the next call requests a new one."""
        self._token = ""


def is_token_expired(error: GRPCError) -> bool:
    """Whether the token is no longer accepted, or belongs to another cluster."""
    return error.status is Status.UNAUTHENTICATED or "invalid auth token" in (error.message or "")


def to_etcd_error(error: Exception) -> EtcdError:
    """Return the EtcdError for an exception of the libraries."""
    if isinstance(error, GRPCError):
        text = f"{error.status.name}: {error.message}"
        if error.status is Status.OUT_OF_RANGE and "compacted" in text:
            return Compacted(text)
        # A call that etcd itself rejects was not executed; with the statuses in UNSURE that is not known.
        unsure = error.status in UNSURE
        return EtcdError(text, unsure)
    if isinstance(error, ssl.SSLError | ConnectionRefusedError):
        return EtcdError(str(error))  # nothing was sent
    if isinstance(error, TimeoutError):
        return EtcdError("no answer in time", True)
    return EtcdError(str(error) or type(error).__name__, True)


async def translate_errors(call: Callable[[], Awaitable[Answer]]) -> Answer:
    """Make a call and raise its failures as EtcdError."""
    try:
        return await call()
    except (GRPCError, StreamTerminatedError, ProtocolError, OSError) as error:
        raise to_etcd_error(error) from error

"""Requests for boxes that speak HTTP/1.1, and their answers, as fronts, engine and backends pass them on."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Fields = tuple[tuple[str, str], ...]  # header fields, in their order


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request to a box. `target` is in origin form; `headers` contain neither Host nor framing fields."""

    method: str
    target: str
    headers: Fields
    body: bytes = b""
    host: str = ""  # the Host field; empty: the box's address
    rejection_statuses: frozenset[int] = frozenset()  # statuses that prove that the request did not start
    body_only: bool = False  # the client gets the body without its status, so only 2xx counts as an answer


PACKED_MARKER = b"HTTP"  # the first string of a packed exchange
WAIT_FIELD = "Lynxreel-Wait-Ms"  # how long the gateway waits, in milliseconds


def pack(request: Exchange) -> tuple[bytes, ...]:
    """A request as strings, from which another instance can resume it."""
    statuses = ",".join(map(str, sorted(request.rejection_statuses)))
    head = (request.method, request.target, request.host, statuses, str(int(request.body_only)))
    strings = [*head, *(string for pair in request.headers for string in pair)]
    return PACKED_MARKER, request.body, *[string.encode("latin-1") for string in strings]


def unpack(strings: Sequence[bytes], wait: int) -> Exchange:
    """The request from its packed strings, with the microseconds that the gateway waits now."""
    method, target, host, statuses, body_only, *flat = [string.decode("latin-1") for string in strings[2:]]
    pairs = zip(flat[::2], flat[1::2], strict=True)
    headers = tuple(
        (name, str(max(1, wait // 1_000)) if name == WAIT_FIELD else text) for name, text in pairs
    )
    rejection_statuses = frozenset(int(status) for status in statuses.split(",") if status)
    return Exchange(method, target, headers, strings[1], host, rejection_statuses, body_only == "1")


class Answer(bytes):
    """The body of a box's answer, with its status and its end-to-end header fields."""

    status: int
    fields: Fields

    @classmethod
    def of(cls, body: bytes, status: int, fields: Iterable[tuple[str, str]]) -> Answer:
        """An answer with this body."""
        answer = cls(body)
        answer.status, answer.fields = status, tuple(fields)
        return answer

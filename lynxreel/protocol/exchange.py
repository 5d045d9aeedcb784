"""A request for a box that speaks HTTP/1.1, and its answer; between fronts, engine and backends."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Fields = tuple[tuple[str, str], ...]  # header fields, in their order


@dataclass(frozen=True, slots=True)
class Exchange:
    """What a box is asked. `target` is in origin form; `headers` hold neither Host nor framing."""

    method: str
    target: str
    headers: Fields
    body: bytes = b""
    host: str = ""  # empty: the box's address
    turned_away: frozenset[int] = frozenset()  # statuses that prove that a request has not begun
    value: bool = False  # the body alone is passed on, so only 2xx is an answer


PACKED = b"HTTP"  # the first of an exchange's strings
WAIT = "Lynxreel-Wait-Ms"  # how long the gateway waits


def pack(asked: Exchange) -> tuple[bytes, ...]:
    """What a box is asked, as strings that another instance can read."""
    statuses = ",".join(map(str, sorted(asked.turned_away)))
    head = (asked.method, asked.target, asked.host, statuses, str(int(asked.value)))
    words = [*head, *(word for pair in asked.headers for word in pair)]
    return PACKED, asked.body, *[word.encode("latin-1") for word in words]


def unpack(words: Sequence[bytes], wait: int) -> Exchange:
    """The same again, with the microseconds that the gateway waits now."""
    method, target, host, statuses, value, *flat = [word.decode("latin-1") for word in words[2:]]
    pairs = zip(flat[::2], flat[1::2], strict=True)
    headers = tuple((name, str(max(1, wait // 1_000)) if name == WAIT else text) for name, text in pairs)
    turned_away = frozenset(int(status) for status in statuses.split(",") if status)
    return Exchange(method, target, headers, words[1], host, turned_away, value == "1")


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

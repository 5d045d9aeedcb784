"""A request for a box that speaks HTTP/1.1, and its answer; between fronts, engine and backends."""

from __future__ import annotations

from collections.abc import Iterable
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

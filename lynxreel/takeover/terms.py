"""What an instance goes by where work in hand is kept and followed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from mothgap.interface import Effect


@dataclass(frozen=True, slots=True)
class Class:
    """What is to be known of a class of requests."""

    effect: Effect
    key_memory: int = 0  # microseconds for which boxes drop repeats under a key


@dataclass(frozen=True, slots=True)
class Terms:
    """What an instance goes by. Times are microseconds."""

    name: str
    classes: Mapping[str, Class]
    entries: int = 20_000  # copies kept
    size: int = 32 << 20  # bytes of them
    wait: int = 20_000  # for which an attempt waits for its intent to be noted
    silence: int = 200_000  # for which a peer's word is waited for: it may live, and stand still for 0.15 s
    keep: int = 15_000_000  # for which answers are kept after a request's time
    sure: bool = True  # `once` waits for its intent; else a copy of it counts as sent from the start
    lease: int = 0  # for which a keeper gives the right to act; 0: only the dead are followed
    drift: float = 0.01  # by which clocks may run apart
    copies: bool = False  # two attempts of a request may be out together
    incarnation: int = 1

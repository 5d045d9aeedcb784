"""Which fault strikes which call, without I/O: a script, a seed and a clock in, a fault or none out."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from operator import itemgetter
from typing import Any


ALL = "*"  # the target of a fault that is meant for every one


class Kind(Enum):
    """What goes wrong."""

    SLOW = "slow"  # the answer comes `delay` later
    SILENT = "silent"  # it is taken in and acted on, but never answered
    RESET = "reset"  # it is acted on, and the connection is reset in place of the answer
    REFUSE = "refuse"  # turned away by the protocol's own words, nothing done
    SPOILT = "spoilt"  # it is acted on, and what comes back can't be read
    HALF = "half"  # it is acted on, and the answer ends with its connection before it is whole
    EARLY = "early"  # a box by HTTP: it says no as soon as it has the head, reads no body and closes
    DEAD = "dead"  # no listener, and every connection reset
    STALE = "stale"  # a counter: it is acted on, and the total is that of `delay` ago, as of a late replica
    WRONG = "wrong"  # a counter: it is acted on, and the total is that of another name
    BACKWARDS = "backwards"  # a counter: it is acted on, and the total is lower than it was
    LOSE = "lose"  # a wire between instances: a frame is dropped
    TWICE = "twice"  # likewise: it comes twice
    SWAP = "swap"  # likewise: the next one goes first
    QUORUM = "quorum"  # etcd: lost; nothing is answered, nothing is done, no lease ends
    MUTE = "mute"  # etcd: open watches say nothing, though calls are answered
    COMPACT = "compact"  # etcd: a write is followed by a compaction up to it
    LATE = "late"  # etcd: leases end `delay` late


@dataclass(frozen=True)
class Fault:
    """One line of a script. Times are seconds since the stand-in began."""

    kind: Kind
    at: float = 0.0
    span: float = math.inf
    share: float = 1.0  # of the calls
    target: str = ALL  # a box's id, or all
    delay: float = 0.2  # seconds, for SLOW, STALE and LATE

    def strikes(self, target: str, now: float) -> bool:
        """Whether it is on, and meant for this target."""
        return self.target in (ALL, target) and self.at <= now < self.at + self.span


class BadScript(ValueError):
    """A script can't be read; the message names the line and the field."""


def read_script(data: Any) -> tuple[Fault, ...]:
    """A script from JSON: a list of objects with the fields of Fault, `kind` by its name. `at`, `span` and
    `delay` are seconds."""
    if not isinstance(data, list):
        raise BadScript("a script is a list of faults")
    return tuple(_fault(number, item) for number, item in enumerate(data))


def _fault(number: int, item: Any) -> Fault:
    where = f"fault {number}"
    if not isinstance(item, dict):
        raise BadScript(f"{where}: is no object")
    known = {kind.value: kind for kind in Kind}
    if item.get("kind") not in known:
        raise BadScript(f"{where}: kind: is {item.get('kind')!r}, not one of {', '.join(known)}")
    given: dict[str, Any] = {"kind": known[item["kind"]]}
    for field, value in item.items():
        if field == "kind":
            continue
        if field == "target" and isinstance(value, str):
            given[field] = value
        elif field in ("at", "span", "share", "delay") and isinstance(value, int | float) and value >= 0:
            given[field] = float(value)
        else:
            raise BadScript(f"{where}: {field}: {value!r} is unknown or out of range")
    return Fault(**given)


class Faults:
    """The faults of one stand-in. They are kept by target, as every call looks for its own."""

    def __init__(self, seed: int, script: Iterable[Fault] = ()) -> None:
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._by_target: dict[str, list[tuple[int, Fault]]] = {}  # each with its place in the script
        self.on(*script)

    def on(self, *faults: Fault) -> None:
        """Switch some on."""
        for fault in faults:
            self._by_target.setdefault(fault.target, []).append((next(self._order), fault))

    def off(self, *faults: Fault) -> None:
        """Switch these off, or all where none is named."""
        if not faults:
            self._by_target.clear()
        for fault in faults:
            kept = [placed for placed in self._by_target.get(fault.target, ()) if placed[1] != fault]
            self._by_target[fault.target] = kept

    def meant_for(self, target: str) -> list[Fault]:
        """Faults that may strike a target, now or later, in the script's order."""
        named, general = self._by_target.get(target, []), self._by_target.get(ALL, [])
        placed = sorted(named + general, key=itemgetter(0)) if named and general else named or general
        return [fault for _, fault in placed]

    def pick(self, target: str, now: float, kinds: Collection[Kind] = tuple(Kind)) -> Fault | None:
        """The fault, of these kinds, that strikes the next call, the script's first one going first."""
        for fault in self.meant_for(target):
            if fault.kind is Kind.DEAD or fault.kind not in kinds or not fault.strikes(target, now):
                continue
            if self._random.random() < fault.share:
                return fault
        return None

    def cut(self, way: str, now: float) -> bool:
        """Whether nothing passes on a way that a fault names, as `g0>box-1`; one for all means no ways."""
        named = (fault for _, fault in self._by_target.get(way, ()))
        return any(fault.kind is Kind.SILENT and fault.strikes(way, now) for fault in named)

    def dead(self, target: str, now: float) -> bool:
        """Whether there is nothing at its address."""
        meant = self.meant_for(target)
        return any(fault.kind is Kind.DEAD and fault.strikes(target, now) for fault in meant)

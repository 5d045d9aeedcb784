"""What one instance sees of each zone's boxes, and whether that says something of the zone. No I/O.

What counts is how many boxes of a zone have answered or failed within a span, not how many requests: a zone
fails with most of its boxes. An instance that sees every zone fail is cut off itself, and one whose loop
stood still has seen nothing; both are blind for a while and say so.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from mothgap.interface import Result

FAILED = (Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT)
ANSWERED = (Result.OK, Result.ERROR, Result.FULL)


class Verdict(IntEnum):
    """What an instance says of a zone."""

    UNKNOWN = 0  # too little has been seen, or this instance is blind
    GOOD = 1
    BAD = 2
    ILL = 3  # all that was seen of it fails, which is too little to say that the zone does


@dataclass(frozen=True, slots=True)
class Terms:
    """When boxes say something of their zone. Times are microseconds."""

    span: int = 2_000_000  # for which an answer of a box counts
    failed: int = 30_000_000  # and its failure: it is tried seldom after that, until it answers
    bad: float = 0.6  # of a zone's boxes that fail
    most: int = 5  # boxes that are enough, in a large zone
    good: float = 0.3  # of the boxes that did something: no more failed
    blind: int = 1_000_000  # after a stand-still or a look at nothing but failures


@dataclass(slots=True)
class _Box:
    """What a box did last."""

    zone: str
    at: int
    failed: bool
    since: int  # its first failure in a row


class Evidence:
    """One instance's eyes. `zones` has the zone of each box that is listed, by its name."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._zones: Mapping[str, str] = {}
        self._sizes: dict[str, int] = {}
        self._last: dict[str, _Box] = {}
        self._blind_until = 0

    def listed(self, zones: Mapping[str, str]) -> None:
        """The list of boxes, with the zone of each; what was seen of boxes that are gone is forgotten."""
        self._zones, self._sizes = dict(zones), {}
        for zone in zones.values():
            self._sizes[zone] = self._sizes.get(zone, 0) + 1
        self._last = {box: last for box, last in self._last.items() if box in self._zones}

    def ended(self, now: int, box: str, result: Result) -> None:
        """An attempt at a box has ended."""
        zone = self._zones.get(box)
        if zone is None:
            return
        if result in FAILED or result in ANSWERED:
            before, failed = self._last.get(box), result in FAILED
            still = before is not None and before.failed and before.at > now - self._terms.failed
            since = before.since if failed and still and before is not None else now
            self._last[box] = _Box(zone, now, failed, since)

    def forget(self, zone: str) -> None:
        """What was seen of a zone says nothing any more."""
        self._last = {box: last for box, last in self._last.items() if last.zone != zone}

    def stood(self, now: int) -> None:
        """This instance's loop stood still: what ran into its time-out then says nothing of boxes."""
        self._last.clear()
        self._blind_until = now + self._terms.blind

    def blind(self, now: int) -> bool:
        """Whether what this instance sees is likely to be its own trouble."""
        return now < self._blind_until

    def verdicts(self, now: int) -> dict[str, Verdict]:
        """What it says of each zone that has boxes."""
        since = {True: now - self._terms.failed, False: now - self._terms.span}
        recent = [last for last in self._last.values() if last.at > since[last.failed]]
        failed, answered = dict.fromkeys(self._sizes, 0), dict.fromkeys(self._sizes, 0)
        onset: dict[str, int] = {}
        for last in recent:
            if last.failed:
                failed[last.zone] += 1
                onset[last.zone] = min(last.since, onset.get(last.zone, last.since))
        for last in recent:
            # What was answered before the first failure says nothing of now.
            if not last.failed and last.at >= onset.get(last.zone, 0):
                answered[last.zone] += 1
        found = {zone: self._verdict(zone, failed[zone], answered[zone]) for zone in self._sizes}
        accused = sum(verdict is Verdict.BAD for verdict in found.values())
        if accused > 1 and not any(answered.values()):
            self._blind_until = now + self._terms.blind  # every zone at once: it is this instance
        if self.blind(now) or Verdict.GOOD not in found.values():
            # Where no zone is well it is not for one to be left: in an overload all of them are late.
            return dict.fromkeys(found, Verdict.UNKNOWN)
        return found

    def since(self, now: int) -> dict[str, tuple[int, int]]:
        """Of each zone of which something is known, for how long nothing has answered, and boxes failed."""
        answered, failing = dict[str, int](), dict[str, int]()
        for last in self._last.values():
            if last.failed:
                failing[last.zone] = max(now - last.since, failing.get(last.zone, 0))
            else:
                answered[last.zone] = min(now - last.at, answered.get(last.zone, now - last.at))
        zones = answered.keys() | failing.keys()
        return {zone: (answered.get(zone, self._terms.failed), failing.get(zone, 0)) for zone in zones}

    def _verdict(self, zone: str, failed: int, answered: int) -> Verdict:
        seen, terms = failed + answered, self._terms
        if failed >= min(terms.most, terms.bad * self._sizes[zone]) and failed >= terms.bad * seen:
            return Verdict.BAD
        if answered:
            return Verdict.GOOD if failed <= terms.good * seen else Verdict.UNKNOWN
        return Verdict.ILL if failed else Verdict.UNKNOWN

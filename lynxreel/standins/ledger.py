"""Exact books of a played deployment, without I/O: what was asked, what ran where, what each client was told.

A request is one try of a client, under an id of its own; tries of one wish share an `origin`. What a gateway
held when it was killed is counted apart: it is the client's to ask again.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

SLACK = 0.05  # seconds that an answer may be late by the measure of a client: the way and both ends' loops
CEILING_SPAN = 10.0  # seconds over which the ceiling is held against what was sent on
KEEP = 120.0  # seconds after which what is settled is folded into the counts: no try lives for so long
FIELDS = ("taken", "served", "refused", "failed", "unknown", "lost", "duplicated", "late", "ran_twice",
          "held_by_dead")  # fmt: skip


@dataclass(frozen=True)
class Quota:
    """A plan's quota and ceiling: units a second and at once; none where the rate is 0."""

    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0


@dataclass(slots=True)
class Try:
    """One request."""

    origin: int
    cls: str
    unsafe: bool
    plan: str
    customer: int
    units: float
    gateway: str
    asked: float
    deadline: float
    again: bool = False  # a later try of its wish
    arrived: bool = False  # whole at a box
    closed: bool = False


@dataclass(slots=True)
class _Bucket:
    """A store of units that holds `burst` at most and gets `rate` a second."""

    rate: float
    burst: float
    level: float
    at: float

    def at_time(self, now: float) -> float:
        """What it holds now."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level


@dataclass
class Use:
    """What was sent on for one customer."""

    plan: str = ""
    units: float = 0.0
    over: float = 0.0  # beyond the quota
    ceiling_over: float = 0.0  # the most that any ten seconds had beyond what the ceiling gives in them
    recent: deque[tuple[float, float]] = field(default_factory=deque)
    asked: int = 0
    wanted: _Bucket | None = None  # the quota, had every first try been let in that fits
    beyond: float = 0.0  # units that were asked for beyond it: 0 for a customer that stays inside
    refused_with_room: int = 0  # though the quota had room for it when it was asked


@dataclass
class Ledger:
    """The books. All times are seconds on one clock."""

    quotas: dict[str, Quota]
    slack: float = SLACK
    counts: Counter[tuple[str, str, str]] = field(default_factory=Counter)  # class, gateway, field
    use: dict[int, Use] = field(default_factory=dict)
    problems: deque[str] = field(default_factory=lambda: deque(maxlen=50))  # a line for each rule broken
    ran_unknown: int = 0  # runs under an id that no client asked with

    def __post_init__(self) -> None:
        self._tries: dict[bytes, Try] = {}
        self._runs: dict[int, list[tuple[float, str]]] = {}  # by origin
        self._buckets: dict[int, _Bucket] = {}
        self._order: deque[tuple[float, bytes]] = deque()

    # --- what clients tell ------------------------------------------------------------------------------

    def ask(self, number: bytes, entry: Try) -> None:
        """A request has been written whole to a gateway that took the connection."""
        self._tries[number] = entry
        self._order.append((entry.asked, number))
        self._count(entry, "taken")
        use = self._use(entry)
        use.asked += 1
        quota = self.quotas.get(entry.plan)
        if quota is not None and quota.rate > 0 and not entry.again:
            if use.wanted is None:
                use.wanted = _Bucket(quota.rate, quota.burst, quota.burst, entry.asked)
            if use.wanted.at_time(entry.asked) >= entry.units:
                use.wanted.level -= entry.units
            else:
                use.beyond += entry.units
        self._fold(entry.asked)

    def answer(self, number: bytes, how: str, at: float) -> None:
        """Its answer is here: served, refused, failed, or that it will never be known."""
        entry = self._close(number)
        if entry is None:
            return
        self._count(entry, how)
        if how == "refused" and self._room(entry):
            self._use(entry).refused_with_room += 1
            self._count(entry, "refused_with_room")
        if at > entry.deadline + self.slack:
            self._count(entry, "late")
            self._tell(number, entry, f"answered {(at - entry.deadline) * 1e3:.0f} ms late")

    def lose(self, number: bytes, why: str) -> None:
        """A living gateway left it without an answer, or gave one that was not made for it."""
        entry = self._close(number)
        if entry is not None:
            self._count(entry, "lost")
            self._tell(number, entry, f"lost: {why}")

    def unanswered(self, number: bytes) -> None:
        """Its time is up and no answer has come."""
        entry = self._close(number)
        if entry is not None:
            self._count(entry, "late")
            self._tell(number, entry, "not answered in time")

    def held(self, number: bytes) -> None:
        """Its gateway was killed."""
        entry = self._close(number)
        if entry is not None:
            self._count(entry, "held_by_dead")

    def moved(self, number: bytes, gateway: str) -> None:
        """Its gateway was killed, and its client asks another one for it; it is one request still."""
        entry = self._tries.get(number)
        if entry is not None and not entry.closed:
            self._count(entry, "held_by_dead")
            entry.gateway = gateway
            self._count(entry, "taken")

    def crossed(self, number: bytes) -> None:
        """Its connection was closed before it was read; it goes out again and was never taken."""
        entry = self._close(number)
        if entry is not None:
            self.counts[entry.cls, entry.gateway, "taken"] -= 1

    def duplicate(self, gateway: str, what: str) -> None:
        """An answer that nothing waits for."""
        self.counts["?", gateway, "duplicated"] += 1
        self.problems.append(f"{gateway}: an answer too many: {what}")

    # --- what boxes tell --------------------------------------------------------------------------------

    def arrive(self, number: bytes, at: float) -> None:
        """A request has come whole to a box: the first time it takes its units."""
        entry = self._tries.get(number)
        if entry is None or entry.arrived:
            return
        entry.arrived = True
        use = self._use(entry)
        use.units += entry.units
        bucket = self._bucket(entry, at)
        if bucket is None:
            return
        if bucket.at_time(at) >= entry.units:
            bucket.level -= entry.units
        else:
            use.over += entry.units
        self._watch_ceiling(entry, use, at)

    def _use(self, entry: Try) -> Use:
        return self.use.setdefault(entry.customer, Use(entry.plan))

    def _bucket(self, entry: Try, now: float) -> _Bucket | None:
        quota = self.quotas.get(entry.plan)
        if quota is None or quota.rate <= 0:
            return None
        fresh = _Bucket(quota.rate, quota.burst, quota.burst, now)
        return self._buckets.setdefault(entry.customer, fresh)

    def _room(self, entry: Try) -> bool:
        """Whether the quota has room for it, and had when it was asked: nothing was put back meanwhile."""
        bucket = self._bucket(entry, entry.asked)
        return bucket is None or bucket.level + bucket.rate * (entry.asked - bucket.at) >= entry.units

    def _watch_ceiling(self, entry: Try, use: Use, at: float) -> None:
        quota = self.quotas[entry.plan]
        if quota.ceiling_rate <= 0:
            return
        use.recent.append((at, entry.units))
        while use.recent[0][0] <= at - CEILING_SPAN:
            use.recent.popleft()
        sent = sum(units for _, units in use.recent)
        most = quota.ceiling_burst + quota.ceiling_rate * CEILING_SPAN
        use.ceiling_over = max(use.ceiling_over, sent - most)

    def run(self, number: bytes, box: str, at: float) -> None:
        """A box begins to work on a request."""
        entry = self._tries.get(number)
        if entry is None:
            self.ran_unknown += 1
            return
        runs = self._runs.setdefault(entry.origin, [])
        runs.append((at, box))
        if entry.unsafe and len(runs) == 2:
            self._count(entry, "ran_twice")
            self._tell(number, entry, f"ran twice: {runs}")

    def arrived(self, number: bytes) -> bool:
        """Whether it has come to a box."""
        entry = self._tries.get(number)
        return entry is not None and entry.arrived

    def sender(self, number: bytes) -> str:
        """The gateway that its client asked; empty where no client did."""
        entry = self._tries.get(number)
        return entry.gateway if entry is not None else ""

    # --- the books --------------------------------------------------------------------------------------

    def open(self) -> int:
        """Requests that wait for an answer."""
        return sum(not entry.closed for entry in self._tries.values())

    def total(self, what: str) -> int:
        """Over all classes and gateways."""
        return sum(count for (_, _, name), count in self.counts.items() if name == what)

    def report(self) -> dict[str, Any]:
        """Totals, by class and by gateway; and units sent on, and those beyond the quotas."""
        whole: dict[str, Any] = {name: self.total(name) for name in FIELDS}
        whole["over_quota_units"] = round(sum(use.over for use in self.use.values()), 3)
        whole["units"] = round(sum(use.units for use in self.use.values()), 3)
        whole["ran_unknown"] = self.ran_unknown
        for part, name in ((0, "by_class"), (1, "by_gateway")):
            rows: dict[str, Counter[str]] = {}
            for place, count in self.counts.items():
                rows.setdefault(place[part], Counter())[place[2]] += count
            whole[name] = {key: {what: rows[key][what] for what in FIELDS} for key in sorted(rows)}
        whole["problems"] = list(self.problems)
        return whole

    def _count(self, entry: Try, what: str) -> None:
        self.counts[entry.cls, entry.gateway, what] += 1

    def _tell(self, number: bytes, entry: Try, what: str) -> None:
        self.problems.append(f"{entry.gateway}: {entry.cls} {number.decode()} {what}")

    def _close(self, number: bytes) -> Try | None:
        entry = self._tries.get(number)
        if entry is None or entry.closed:
            return None
        entry.closed = True
        return entry

    def _fold(self, now: float) -> None:
        """Let go of what is long over."""
        while self._order and self._order[0][0] < now - KEEP:
            _, number = self._order.popleft()
            entry = self._tries.pop(number, None)
            if entry is not None:
                self._runs.pop(entry.origin, None)

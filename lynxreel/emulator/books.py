"""What became of each request, and the rules, held by somebody who does not ask the deciding modules."""

from __future__ import annotations

from dataclasses import dataclass, field

from mothgap.interface import Effect, Plan, Request, RequestClass

SECOND = 1_000_000  # microseconds


@dataclass(slots=True)
class _Life:
    """A request that is owed its answer."""

    request: Request
    cls: RequestClass
    came: int
    first: int  # when its client asked for the first time
    ran: list[tuple[str, int]] = field(default_factory=list)  # attempts that may have run: box and when


@dataclass(slots=True)
class _Bucket:
    """A quota that starts full."""

    level: float
    at: int


class Books:
    """Counts by end, units within and beyond quotas, and a line for each rule broken."""

    def __init__(self, plans: tuple[Plan, ...], slack: int) -> None:
        self.plans, self.slack = plans, slack  # microseconds past a deadline in which an answer counts
        self.ends = dict.fromkeys(("in time", "late", "refused", "failed", "left"), 0)
        self.by_second: dict[int, dict[str, int]] = {}
        self.units, self.beyond = 0.0, 0.0  # sent on, and of these beyond quotas
        self.allowed = 0.0  # what one gateway that sees all first tries would have let through
        self.refused_with_room = 0
        self.problems: list[str] = []
        self._open: dict[tuple[int, int], _Life] = {}
        self._buckets: dict[int, _Bucket] = {}  # what is left of each quota
        self._ideal: dict[int, _Bucket] = {}  # what would be, had that one gateway decided

    def came(self, gateway: int, request: Request, cls: RequestClass, now: int, first: int | None) -> None:
        """A gateway has taken a request. `first`: when its client's first try came, for a later one."""
        if first is None:
            self._second(now)["asked"] += 1
            ideal = self._level(self._ideal, request, now)
            if ideal.level >= request.units:
                ideal.level -= request.units
                self.allowed += request.units
        self._open[gateway, request.id] = _Life(request, cls, now, now if first is None else first)

    def sent(self, gateway: int, request: int, box: str, first: bool, told_off: int | None, now: int) -> None:
        """An attempt goes out. `told_off`: until when the box may be sent to, as this gateway was told."""
        life = self._open.get((gateway, request))
        if life is None:
            self.problems.append(f"request {request} of gateway {gateway} was sent on after its end")
            return
        if told_off is not None and now > told_off:
            self.problems.append(f"{box} was sent to {now - told_off} us after it might be")
        if life.ran and life.cls.effect is Effect.ONCE:
            self.problems.append(f"request {request} of gateway {gateway} may run twice")
        if life.ran and life.cls.effect is Effect.KEYED and now - life.ran[0][1] > life.cls.key_memory:
            self.problems.append(f"request {request} of gateway {gateway} was repeated after its key's life")
        if first:
            bucket = self._level(self._buckets, life.request, now)
            self.units += life.request.units
            if bucket.level >= life.request.units:
                bucket.level -= life.request.units
            elif self.plans[life.request.plan].rate > 0:
                self.beyond += life.request.units

    def may_have_run(self, gateway: int, request: int, box: str, sent: int) -> None:
        """An attempt has ended with no word of whether it ran."""
        life = self._open.get((gateway, request))
        if life is not None:
            life.ran.append((box, sent))

    def ended(self, gateway: int, request: int, how: str, now: int) -> None:
        """The one final answer, or the client has left. `how`: served, refused, failed or left."""
        life = self._open.pop((gateway, request), None)
        if life is None:
            self.problems.append(f"request {request} of gateway {gateway} was answered twice")
            return
        if how != "left" and now > life.came + life.request.time_left + self.slack:
            self.problems.append(f"request {request} of gateway {gateway} was answered after its deadline")
        if how == "served":
            how = "in time" if now - life.first <= life.cls.aim else "late"
        if how == "refused":
            left = self._level(self._buckets, life.request, now).level
            self.refused_with_room += left >= life.request.units
        self.ends[how] += 1
        self._second(life.first)[how] += 1

    def fell(self, box: str) -> None:
        """A cold box was pushed over."""
        self.problems.append(f"{box} was pushed over")

    def owed(self) -> int:
        """Requests without an answer."""
        return len(self._open)

    def served(self, first: int, last: int) -> float:
        """Share of the first tries from one second to before another that any try answered in time."""
        seconds = [self.by_second[s] for s in range(first, last) if s in self.by_second]
        return sum(second["in time"] for second in seconds) / max(1, sum(s["asked"] for s in seconds))

    def _second(self, now: int) -> dict[str, int]:
        """The counts of the first tries of that second, and of how all tries behind them ended."""
        return self.by_second.setdefault(now // SECOND, dict.fromkeys(("asked", *self.ends), 0))

    def _level(self, buckets: dict[int, _Bucket], request: Request, now: int) -> _Bucket:
        plan = self.plans[request.plan]
        bucket = buckets.setdefault(request.customer, _Bucket(plan.burst, now))
        bucket.level = min(plan.burst, bucket.level + plan.rate * (now - bucket.at) / SECOND)
        bucket.at = now
        return bucket

"""Changes the number of gateways of a fleet in service. No I/O.

The number of gateways determines which of them serve a customer, and each of these holds an even share of the
customer's ceiling. While the number changes, some fronts use the old number and some the new one, so two sets
of gateways may serve a customer at once. As in Raft's joint consensus, a change from one view to another
passes through a joint view, in which every gateway holds half of its share: one half for either set.

    4            every gateway holds its even share
    8, before 4  all release the units they had saved up, and hold half; only then may fronts use 8
    8            all fronts use 8, and each gateway takes its whole share whenever it adopts the view

`advise` tells when the next step may be made: when all running gateways have adopted the previous one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class View:
    """The number of gateways; and in a joint view, the number before the change."""

    gateways: int
    before: int = 0  # 0: not a joint view

    @property
    def joint(self) -> bool:
        """Whether fronts may use either number."""
        return self.before > 0

    @property
    def max_gateways(self) -> int:
        """The number of gateways that may be sent requests."""
        return max(self.gateways, self.before)

    def share(self, number: int) -> float:
        """The fraction of an even share that gateway `number` holds; 0 where no front uses it."""
        if number >= self.max_gateways:
            return 0.0
        return 0.5 if self.joint else 1.0

    def __str__(self) -> str:
        return f"{self.gateways}, before {self.before}" if self.joint else str(self.gateways)


def transition_problem(old: View, new: View) -> str:
    """Why a gateway can't change from the old view to the new one; empty where it can."""
    if old == new:
        return ""
    if old.joint and new.joint:
        remedy = f"settle it first, with {old.gateways} or {old.before} alone"
        return f"the change to {old} is not over; mend: {remedy}"
    if old.joint:
        allowed = (old.gateways, old.before)
        if new.gateways not in allowed:
            return f"{old} can only be settled; mend: write {allowed[0]} or {allowed[1]} alone"
        return ""
    if not new.joint or new.before != old.gateways:
        remedy = f"write gateways = {new.gateways}, before = {old.gateways} until all gateways have taken it"
        why = "shares would add up to more than the whole"
        return f"goes from {old} to {new} in one step: {why}; mend: {remedy}"
    return ""


class Step(Enum):
    """The step that may be made next; the value is shown to operators."""

    WAIT = "wait"  # some running gateways have not adopted the current view
    MOVE_FRONTS = "move fronts"  # move them to the new number, then end the joint view
    CHANGE = "change"  # no change is in progress


@dataclass(frozen=True, slots=True)
class Advice:
    """The step that may be made next, and why."""

    step: Step
    text: str


def advise(target: View, running: Mapping[str, View | None]) -> Advice:
    """The step that may be made after `target` was rolled out.

    `running` maps each gateway that may be running to its view; None where the gateway can't be queried but
    may still be running. Gateways that have certainly ended are not in it.
    """
    unknown = sorted(name for name, view in running.items() if view is None)
    behind = sorted(name for name, view in running.items() if view is not None and view != target)
    if unknown or behind:
        reasons = [f"{name} can't be asked" for name in unknown]
        reasons += [f"{name} still goes by {running[name]}" for name in behind]
        effect = "no front may go by another number, and nothing may be settled, until then"
        return Advice(Step.WAIT, f"{'; '.join(reasons)}: {effect}")
    if target.joint:
        next_step = f"then write gateways = {target.gateways} without before"
        return Advice(Step.MOVE_FRONTS, f"all hold half: move every front to {target.gateways}; {next_step}")
    return Advice(Step.CHANGE, f"all {len(running)} go by {target}")

"""Changes of the number of gateways: which steps are allowed, and that shares never exceed the ceiling."""

from collections import deque
from dataclasses import dataclass, replace

import pytest

from lynxreel.fleet.views import Step, View, advise, transition_problem


def test_shares_of_gateways() -> None:
    assert [View(4).share(n) for n in (0, 3, 4)] == [1.0, 1.0, 0.0]
    assert [View(8, 4).share(n) for n in (0, 7, 8)] == [0.5, 0.5, 0.0]
    assert [View(3, 8).share(n) for n in (0, 7, 8)] == [0.5, 0.5, 0.0]


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        (View(4), View(8), "in one step"),
        (View(4), View(8, 5), "in one step"),
        (View(8, 4), View(8, 3), "is not over"),
        (View(8, 4), View(5), "can only be settled"),
    ],
)
def test_refused_changes_come_with_a_remedy(old: View, new: View, message: str) -> None:
    assert message in transition_problem(old, new) and "mend: " in transition_problem(old, new)


def test_allowed_changes() -> None:
    for old, new in ((View(4), View(8, 4)), (View(8, 4), View(8)), (View(8, 4), View(4)), (View(4), View(4))):
        assert transition_problem(old, new) == ""


def test_advice_waits_for_all_running_gateways() -> None:
    joint = View(8, 4)
    advice = advise(joint, {"g0": joint, "g1": View(4), "g2": None})
    assert advice.step is Step.WAIT
    assert "g1 still goes by 4" in advice.text and "g2 can't be asked" in advice.text
    assert advise(joint, {"g0": joint}).step is Step.MOVE_FRONTS
    assert advise(View(8), {"g0": View(8)}).step is Step.CHANGE


TARGETS = (View(2), View(3, 2), View(3), View(1, 3), View(1))
MAX_GATEWAYS = 3


@dataclass(frozen=True)
class Model:
    """Gateways and fronts that adopt targets at different times, and an operator who follows `advise`."""

    target: int = 0
    views: tuple[View | None, ...] = (View(2), View(2), None)  # None: it does not run
    fronts: tuple[int, ...] = (2, 2)

    def steps(self, unresponsive: int) -> "list[tuple[str, Model]]":
        successors = []
        target = TARGETS[self.target]
        for number, view in enumerate(self.views):
            if view is None:
                if number < target.max_gateways:
                    successors.append((f"{number} starts", self._with(number, target)))
                continue
            if number != unresponsive and view != target and not transition_problem(view, target):
                successors.append((f"{number} takes {target}", self._with(number, target)))
            # An operator may end the unresponsive one.
            if number >= target.max_gateways or number == unresponsive:
                successors.append((f"{number} ends", self._with(number, None)))
        running = {str(n): view for n, view in enumerate(self.views) if view is not None}
        advice = advise(target, running)
        if advice.step is Step.MOVE_FRONTS:
            for front, number in enumerate(self.fronts):
                if number != target.gateways:
                    fronts = (*self.fronts[:front], target.gateways, *self.fronts[front + 1 :])
                    successors.append((f"front {front} moves", replace(self, fronts=fronts)))
        settled = all(number == target.gateways for number in self.fronts)
        if advice.step is not Step.WAIT and settled and self.target + 1 < len(TARGETS):
            successors.append(
                (f"{TARGETS[self.target + 1]} is rolled out", replace(self, target=self.target + 1))
            )
        return successors

    def _with(self, number: int, view: View | None) -> "Model":
        return replace(self, views=(*self.views[:number], view, *self.views[number + 1 :]))

    def max_total_share(self) -> float:
        """The largest sum of shares that gateways hold of one ceiling, over customers and entry points."""
        maximum = 0.0
        for first in range(6):
            for spread in (1, 2, 3):
                shares: dict[int, float] = {}
                for number in set(self.fronts):
                    size = min(spread, number)
                    for place in range(size):
                        gateway = (first + place) % number
                        shares[gateway] = max(shares.get(gateway, 0.0), 1.0 / size)
                share_sum = 0.0
                for gateway, share in shares.items():
                    view = self.views[gateway]
                    share_sum += view.share(gateway) * share if view is not None else 0.0
                maximum = max(maximum, share_sum)
        return maximum


@pytest.mark.parametrize("unresponsive", [-1, 0, 1])
def test_shares_never_exceed_the_ceiling_in_any_interleaving(unresponsive: int) -> None:
    queue, seen, reached = deque([(Model(), "")]), set(), set()
    while queue:
        model, path = queue.popleft()
        if model in seen:
            continue
        seen.add(model)
        assert model.max_total_share() <= 1.0 + 1e-9, path
        reached.add(TARGETS[model.target])
        queue += [(successor, f"{path}, {step}") for step, successor in model.steps(unresponsive)]
    assert TARGETS[-1] in reached, (
        "the last view is reached, with an unresponsive gateway once it was ended by hand"
    )
    assert len(seen) > 50

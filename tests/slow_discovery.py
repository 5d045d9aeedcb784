"""A model of a slow or crowded discovery service in virtual time, and the instances that follow it."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lynxreel.sources.freshness import Action, Close, End, Freshness, Open, WatchPolicy

HEARTBEAT = 2.0  # seconds between heartbeats
AnswerTime = Callable[
    [int], float | None
]  # seconds until the answer to the n-th request; None: there is none


def always(seconds: float) -> AnswerTime:
    return lambda number: seconds


def every_second(seconds: float) -> AnswerTime:
    """The first request is lost, and each second one after it."""
    return lambda number: seconds if number % 2 else None


def drawn(least: float, most: float, seed: int, lost: float = 0.0) -> AnswerTime:
    rng = random.Random(seed)
    return lambda number: None if rng.random() < lost else rng.uniform(least, most)


@dataclass
class Request:
    """A request for a watch, and the watch once it is answered."""

    instance: "Instance"
    watch: int
    made_at: float
    answered: bool = False
    silent: bool = False  # it says nothing any more

    @property
    def open(self) -> bool:
        return self.watch in self.instance.open


@dataclass
class Instance:
    """One instance: its decisions, and what it has seen."""

    core: Freshness
    open: dict[int, Request] = field(default_factory=dict)
    heard_at: float | None = None  # when it learnt of the change
    first_line_at: float | None = None
    requests: list[float] = field(default_factory=list)
    max_open: int = 0
    logged: list[str] = field(default_factory=list)


class SlowDiscovery:
    """Answers requests late, in turn or side by side; one change is announced to it."""

    def __init__(
        self,
        policy: WatchPolicy,
        answer_time: AnswerTime,
        instances: int = 1,
        in_turn: bool = False,
        seed: int = 1,
    ) -> None:
        """`in_turn`: one request after another is worked on, also those whose callers have gone."""
        self.now = 0.0
        self.answer_time = answer_time
        self.instances = [
            Instance(Freshness(policy, random.Random(f"{seed} {number}"))) for number in range(instances)
        ]
        self.max_standing = 0  # most requests that were here unanswered at a time, callers that have gone too
        self.work_for_nobody = 0  # requests that were answered after their callers had gone
        self.away = False  # requests are taken, and never answered
        self._in_turn = in_turn
        self._free_at = 0.0
        self._standing = 0
        self._changed_at: float | None = None
        self._numbers = itertools.count()
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        for instance in self.instances:
            self._tick(instance)

    def at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), event))

    def run_until(self, end: float) -> "SlowDiscovery":
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end
        return self

    def change(self) -> None:
        """Announce the change: open watches are told at once."""
        self._changed_at = self.now
        if not self.away:
            for request in self._watches():
                self._line(request)

    def hush(self) -> None:
        """All open watches fall silent for good."""
        for request in self._watches():
            request.silent = True

    def cut(self) -> None:
        """All open watches are reset."""
        for request in self._watches():
            self._end(request, End.LOST)

    def leave(self) -> None:
        """What has been asked is never answered, nor what is asked until it is back."""
        self.away = True
        for instance in self.instances:
            for request in instance.open.values():
                request.silent = True

    def come_back(self) -> None:
        self.away = False

    def move(self) -> None:
        """Each instance is told another address."""
        for instance in self.instances:
            instance.core.address_changed(self.now)
            self._tick(instance)

    def _watches(self) -> list[Request]:
        requests = [request for instance in self.instances for request in instance.open.values()]
        return [request for request in requests if request.answered and not request.silent]

    def _perform(self, instance: Instance, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Open):
                self._take(instance, action.watch)
            elif isinstance(action, Close):
                instance.open.pop(action.watch)
            else:
                instance.logged.append(action.text)
        instance.max_open = max(instance.max_open, len(instance.open))

    def _take(self, instance: Instance, watch: int) -> None:
        request = instance.open[watch] = Request(instance, watch, self.now)
        instance.requests.append(self.now)
        seconds = self.answer_time(next(self._numbers))
        if self.away or seconds is None:
            request.silent = True
            return
        self._standing += 1
        self.max_standing = max(self.max_standing, self._standing)
        begins = max(self.now, self._free_at) if self._in_turn else self.now
        self._free_at = begins + seconds
        self.at(begins + seconds, lambda: self._answer(request))

    def _answer(self, request: Request) -> None:
        self._standing -= 1
        if not request.open:
            self.work_for_nobody += 1
        elif not request.silent:
            request.answered = True
            self._line(request)
            self.at(self.now + HEARTBEAT, lambda: self._beat(request))

    def _beat(self, request: Request) -> None:
        if request.open and not request.silent and not self.away:
            self._line(request)
            self.at(self.now + HEARTBEAT, lambda: self._beat(request))

    def _line(self, request: Request) -> None:
        instance = request.instance
        if instance.first_line_at is None:
            instance.first_line_at = self.now
        if self._changed_at is not None and instance.heard_at is None:
            instance.heard_at = self.now
        self._perform(instance, instance.core.line_received(request.watch, self.now))
        self._tick(instance)

    def _end(self, request: Request, how: End) -> None:
        instance = request.instance
        del instance.open[request.watch]
        self._perform(instance, instance.core.watch_ended(request.watch, how, self.now))
        self._tick(instance)

    def _tick(self, instance: Instance) -> None:
        due = instance.core.due()
        while due is not None and due <= self.now:
            self._perform(instance, instance.core.tick(self.now))
            due = instance.core.due()
        if due is not None:
            self.at(due, lambda: self._tick_if_due(instance))

    def _tick_if_due(self, instance: Instance) -> None:
        due = instance.core.due()
        if due is not None and due <= self.now:
            self._tick(instance)

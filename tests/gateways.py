"""Several decision modules with a clock, a counter and a network that a test controls; no I/O."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace

from mothgap.interface import (
    Action,
    Count,
    Counted,
    Event,
    Fail,
    ListKind,
    Members,
    Outcome,
    PeerMessage,
    Refuse,
    Request,
    Result,
    Send,
    SetTimer,
    Settings,
    Tell,
    Timer,
)
from mothgap.rules import Gateway
from tests.helpers import MS, START, ready_server

ANSWER = 100 * MS  # answer time of a server
CALL = 3 * MS  # answer time of the counter


class Gateways:
    """A fleet. `on_action` is called with each action; loss, duplicates and delays of messages are random."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        servers: int = 4,
        network_delay: tuple[int, int] = (1 * MS, 40 * MS),
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
    ) -> None:
        self.now, self.rng, self.settings = START, random.Random(seed), settings
        self.network_delay, self.loss_rate, self.duplicate_rate = network_delay, loss_rate, duplicate_rate
        self.on_action: Callable[[int, Action], None] = lambda gateway, action: None
        self.total: Callable[[int, float], float] = lambda name, amount: amount  # the counter's answer
        self.lines = tuple(ready_server(number + 1) for number in range(servers))
        self.gateways: list[Gateway] = []
        self.incarnations = [0] * settings.fleet_size
        self.messages = 0
        self._due: list[tuple[int, int, int, int, Event]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self.requests: dict[int, Request] = {}
        for number in range(settings.fleet_size):
            self.gateways.append(self._new(number))

    def _new(self, number: int) -> Gateway:
        gateway = Gateway(replace(self.settings, index=number), self.rng.getrandbits(32), self.now)
        gateway.handle(self.now, Members(ListKind.CACHED, 1, self.lines))
        return gateway

    def restart(self, number: int) -> None:
        """Restart a gateway without state; answers to its former incarnation are dropped."""
        self.incarnations[number] += 1
        self.gateways[number] = self._new(number)

    def request(self, gateway: int, **fields: object) -> int:
        """A request arrives now."""
        request = Request(id=next(self._ids), **fields)  # type: ignore[arg-type]
        self.requests[request.id] = request
        self.feed(gateway, request)
        return request.id

    def feed(self, gateway: int, event: Event) -> None:
        for action in self.gateways[gateway].handle(self.now, event):
            self.on_action(gateway, action)
            self._act(gateway, action)

    def schedule(self, delay: int, gateway: int, event: Event, any_incarnation: bool = False) -> None:
        incarnation = -1 if any_incarnation else self.incarnations[gateway]
        heapq.heappush(self._due, (self.now + delay, next(self._order), gateway, incarnation, event))

    def _act(self, gateway: int, action: Action) -> None:
        match action:
            case SetTimer():
                self.schedule(action.delay, gateway, Timer(action.token))
            case Count():
                total = self.total(action.name, action.amount)
                self.schedule(CALL, gateway, Counted(action.name, Result.OK, CALL, total))
            case Send():
                outcome = Outcome(action.request, 0, action.server, Result.OK, ANSWER, True)
                self.schedule(ANSWER, gateway, outcome)
            case Tell() if action.to is not None:
                self.messages += 1
                copies = (
                    0 if self.rng.random() < self.loss_rate else 1 + (self.rng.random() < self.duplicate_rate)
                )
                for _ in range(copies):
                    message = PeerMessage(gateway, action.data)
                    self.schedule(
                        self.rng.randint(*self.network_delay), action.to, message, any_incarnation=True
                    )
            case Refuse() | Fail():
                self.requests.pop(action.request, None)
            case _:
                pass

    def run(self, until: int) -> None:
        """Let time pass up to then."""
        while self._due and self._due[0][0] <= until:
            self.now, _, gateway, incarnation, event = heapq.heappop(self._due)
            if incarnation in (-1, self.incarnations[gateway]):
                self.feed(gateway, event)
        self.now = until


class Ledger:
    """One customer's ceiling over all gateways: sends take units out of one bucket that starts full."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now
        self.min_level, self.total_units = burst, 0.0

    def take(self, units: float, now: int) -> None:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / 1_000_000) - units
        self.at, self.min_level, self.total_units = (
            now,
            min(self.min_level, self.level),
            self.total_units + units,
        )

"""How late news of the list is where discovery answers slowly, and what it is asked, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lynxreel.sources.freshness import WatchPolicy
from tests.slow_discovery import AnswerTime, SlowDiscovery, always, every_second

ANSWER_TIMES = (0.01, 1.5, 3.0, 3.5, 4.5, 6.0, 10.0, 20.0, 29.0)  # seconds
FLEETS = (4, 40, 230, 1_024)
FAULT_AT, ENDS_AT = 40.0, 140.0  # seconds
SILENT_PHASES = 8  # of the interval between two heartbeats
ALL_SERVED = 8.0  # seconds in which a crowded service can answer one request of each instance


@dataclass(frozen=True)
class Figures:
    """Of one play: seconds until the last instance has heard, and the load."""

    heard: float
    requests: float  # of an instance
    most_open: int  # of an instance
    most_standing: int  # at discovery, in all
    for_nobody: int


Fault = Callable[[SlowDiscovery], None]


def _play(discovery: SlowDiscovery, fault: Fault | None, at: float) -> Figures:
    """Play a fault after a quiet time, or the start, with a change at the same moment."""
    if fault is not None:
        discovery.at(at, lambda: fault(discovery))
    discovery.at(at, discovery.change)
    discovery.run_until(at - 0.001)
    before = sum(len(instance.requests) for instance in discovery.instances) if at else 0
    discovery.run_until(ENDS_AT)
    instances = discovery.instances
    made = sum(len(instance.requests) for instance in instances) - before
    return Figures(
        max((instance.heard_at or 1e9) - at for instance in instances),
        made / len(instances),
        max(instance.max_open for instance in instances),
        discovery.max_standing,
        discovery.work_for_nobody,
    )


def _agent(answer_time: AnswerTime, seed: int, in_turn: bool = False) -> SlowDiscovery:
    return SlowDiscovery(
        WatchPolicy(agent=True, fleet_size=230, ask_within=10.0), answer_time, 1, in_turn, seed
    )


def _service(answer_time: AnswerTime, fleet: int, seed: int, in_turn: bool = False) -> SlowDiscovery:
    policy = WatchPolicy(agent=False, fleet_size=fleet, ask_within=10.0)
    return SlowDiscovery(policy, answer_time, fleet, in_turn, seed)


def _leave_and_return(discovery: SlowDiscovery) -> None:
    """Lose all watches, and answer nothing for 8 s; the time counts from the return."""
    discovery.leave()
    discovery.at(discovery.now + 8.0, discovery.come_back)


def _row(name: str, answer_time: float, plays: list[Figures], counts_after: float = 0.0) -> None:
    heard = max(play.heard for play in plays) - counts_after
    text = f"{heard:8.2f}" if heard < 1e6 else "   never"
    print(
        f"{name:<28} {answer_time:6.2f} {text} {max(play.requests for play in plays):9.1f}"
        f" {max(play.most_open for play in plays):6d} {max(play.most_standing for play in plays):9d}"
        f" {max(play.for_nobody for play in plays):11d}"
    )


def _agents(rounds: int) -> None:
    for seconds in ANSWER_TIMES:
        seeds = range(rounds)
        _row("agent, start", seconds, [_play(_agent(always(seconds), seed), None, 0.0) for seed in seeds])
        lost = [_play(_agent(every_second(seconds), seed), None, 0.0) for seed in seeds]
        _row("agent, every second lost", seconds, lost)
        crowded = [_play(_agent(always(seconds), seed, in_turn=True), None, 0.0) for seed in seeds]
        _row("agent, one after another", seconds, crowded)
        silent = [
            _play(_agent(always(seconds), seed), SlowDiscovery.hush, FAULT_AT + 2.0 * phase / SILENT_PHASES)
            for seed in seeds
            for phase in range(SILENT_PHASES)
        ]
        _row("agent, watch falls silent", seconds, silent)
        reset = [_play(_agent(always(seconds), seed), SlowDiscovery.cut, FAULT_AT) for seed in seeds]
        _row("agent, watch is reset", seconds, reset)
        away = [_play(_agent(always(seconds), seed), _leave_and_return, FAULT_AT) for seed in seeds]
        _row("agent, back after 8 s", seconds, away, counts_after=8.0)


def _services(rounds: int) -> None:
    for fleet in FLEETS:
        seeds = range(min(rounds, 2) if fleet > 100 else rounds)
        for seconds in ANSWER_TIMES:
            start = [_play(_service(always(seconds), fleet, seed), None, 0.0) for seed in seeds]
            _row(f"service of {fleet}, start", seconds, start)
            silent = [
                _play(_service(always(seconds), fleet, seed), SlowDiscovery.hush, FAULT_AT) for seed in seeds
            ]
            _row(f"service of {fleet}, silent", seconds, silent)
        turn = ALL_SERVED / fleet
        crowded = [_play(_service(always(turn), fleet, seed, in_turn=True), None, 0.0) for seed in seeds]
        _row(f"service of {fleet}, crowded", turn, crowded)


def measure(rounds: int) -> None:
    """One row for each order and answer time; the worst of the rounds."""
    print("order                        answer    heard  requests   open  standing  for nobody")
    _agents(rounds)
    _services(rounds)

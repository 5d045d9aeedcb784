"""How good choices among many boxes are: answer times of a modelled fleet, looking at some boxes and at all.

Boxes have two cores and one queue; speeds differ by a factor of two; work is exponential; one gateway, no
counter. The model has no sockets: simulated time, one heap.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import deque

from mothgap import rules
from mothgap.interface import (
    Effect,
    Limits,
    ListKind,
    Member,
    Members,
    Outcome,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
    State,
    Timer,
)

BOXES, WORK, CORES, LOADS, SECONDS = 300, 80_000, 2, (0.5, 0.8, 0.95), 4
SETTINGS = Settings(
    classes=(RequestClass(Effect.REPEATABLE, aim=1_000_000, deadline=3_000_000, worth=1.0),),
    plans=(Plan(),),
    limits=Limits(max_attempts=4, may_cancel=True),
)


def _play(load: float, seed: int) -> tuple[list[int], int, float]:
    """Answer times in microseconds, requests refused, and seconds of CPU in the module."""
    dice, order = random.Random(seed), itertools.count()
    speeds = [dice.uniform(0.67, 1.33) for _ in range(BOXES)]
    apart = WORK / (sum(speeds) * CORES * load)
    busy, lines = [0] * BOXES, [deque[tuple[int, int]]() for _ in range(BOXES)]
    now, spent, refused, found = 0, 0.0, 0, list[int]()
    gateway = rules.Gateway(SETTINGS, seed, 0)
    members = tuple(Member(f"{number}", State.READY) for number in range(BOXES))
    gateway.handle(0, Members(ListKind.FULL, 1, members))
    queue: list[tuple[int, int, str, int, int]] = [(0, next(order), "ask", 1, 0)]

    def begin(box: int, request: int, sent: int) -> None:
        busy[box] += 1
        span = int(dice.expovariate(speeds[box] / WORK))
        heapq.heappush(queue, (now + span, next(order), "end", request, sent * BOXES + box))

    while queue:
        now, _, what, number, more = heapq.heappop(queue)
        began = time.process_time()
        if what == "ask":
            actions = gateway.handle(now, Request(number, 0, 0, number, 1.0, 3_000_000))
        elif what == "timer":
            actions = gateway.handle(now, Timer(number))
        else:
            sent, box = divmod(more, BOXES)
            actions = gateway.handle(now, Outcome(number, 0, f"{box}", Result.OK, now - sent, True))
        spent += time.process_time() - began
        if what == "ask" and now < SECONDS * 1_000_000:
            later = now + int(dice.expovariate(1 / apart))
            heapq.heappush(queue, (later, next(order), "ask", number + 1, 0))
        if what == "end":
            sent, box = divmod(more, BOXES)
            found.append(now - sent)
            busy[box] -= 1
            if lines[box]:
                begin(box, *lines[box].popleft())
        for action in actions:
            match action:
                case Send():
                    box = int(action.server)
                    if busy[box] < CORES:
                        begin(box, action.request, now)
                    else:
                        lines[box].append((action.request, now))
                case Refuse():
                    refused += 1
                case SetTimer():
                    heapq.heappush(queue, (now + action.delay, next(order), "timer", action.token, 0))
    return found, refused, spent


def measure(rounds: int) -> None:
    """Both ways on the same days."""
    print(f"choice: {BOXES} boxes of {CORES} cores, {SECONDS} s of simulated time, {rounds} seeds")
    kept = rules.SAMPLING_THRESHOLD
    for load in LOADS:
        for way, many in (("all boxes", 10**9), (f"{rules.SAMPLE_SIZE} drawn", kept)):
            rules.SAMPLING_THRESHOLD = many
            found, refused, spent = list[int](), 0, 0.0
            for seed in range(rounds):
                spans, turned, cpu = _play(load, seed)
                found, refused, spent = found + spans, refused + turned, spent + cpu
            rules.SAMPLING_THRESHOLD = kept
            found.sort()
            p50, p99 = (found[int(part * len(found))] / 1e3 for part in (0.5, 0.99))
            each = spent / (len(found) + refused) * 1e6
            shown = f"p50 {p50:4.0f} ms, p99 {p99:4.0f} ms, {refused} of {len(found) + refused} refused"
            print(f"  load {load:.2f}, {way:9}  {shown}, {each:5.0f} µs of CPU a request")

"""A customer that asks for far more than it may, through sets of gateways that are changed while it asks."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter

from lynxreel.protocol.address import Address
from lynxreel.protocol.resp import pack

APART = 0.002  # seconds between an answer and the next request on a connection
STEP = 5  # answers between two at which spans are looked at


class Hot:
    """Asks for one unit after another, on one connection to each gateway of each set."""

    numbers = itertools.count(1)

    def __init__(self, plan: str, customer: int = 7) -> None:
        self._plan, self._customer = plan, customer
        self._tasks: list[asyncio.Task[None]] = []
        self.served: list[float] = []  # when, on the loop's clock
        self.counts: Counter[str] = Counter()  # served, refused, failed

    def ask(self, gateways: list[Address], *sets: tuple[int, int]) -> None:
        """From now on, and only, through these sets: each a number of gateways in a row, and the first."""
        self.rest()
        loop = asyncio.get_running_loop()
        for spread, first in sets:
            for place in range(spread):
                work = self._ask(gateways[first + place], spread, first)
                self._tasks.append(loop.create_task(work))

    def rest(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    async def _ask(self, gateway: Address, spread: int, first: int) -> None:
        reader, writer = await asyncio.open_connection(*gateway)
        loop = asyncio.get_running_loop()
        try:
            while True:
                terms = f"c=lookup,t={self._plan},d=1500,units=1,spread={spread},first={first}"
                words = ("CALL.GET", f"{self._customer:016x}", f"h{next(self.numbers)}", terms)
                writer.write(pack([word.encode() for word in words]))
                line = await reader.readline()
                if not line:
                    return
                if line[:1] == b"$":
                    await reader.readexactly(int(line[1:]) + 2)
                    self.served.append(loop.time())
                kinds = {b"$": "served", b"-": "refused" if line.startswith(b"-BUSY") else "failed"}
                self.counts[kinds[line[:1]]] += 1
                await asyncio.sleep(APART)
        except ConnectionError:
            return
        finally:
            writer.transport.abort()

    def over(self, rate: float, burst: float, lag: float = 0.0) -> float:
        """Units that the worst span had beyond its burst and rate; answers may be `lag` seconds late."""
        worst = float("-inf")
        for first in range(0, len(self.served), STEP):
            for last in range(first, len(self.served), STEP):
                span = self.served[last] - self.served[first] + lag
                worst = max(worst, last - first + 1 - burst - rate * span)
        return worst

"""A failing test names how long its own process stood still, and each gateway."""

import asyncio
import signal
import time
from pathlib import Path

from tests import stand_still
from tests.fleet import fleet, run


def test_stand_stills_of_the_test_and_of_a_gateway_are_told_apart(tmp_path: Path) -> None:
    """Guards against a late rig that is taken for a late gateway."""
    stand_still.reset()

    async def scenario() -> None:
        async with fleet(tmp_path, 1) as deployment:
            process = deployment.gateways[0].process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.05)
            time.sleep(0.2)  # the test's own process does nothing
            await deployment.stop()

    run(scenario)
    told = dict(line.rsplit(": ", 1) for line in stand_still.told(tmp_path).splitlines())
    assert int(told["the test's own process"].split()[0]) >= 150, told
    assert any(int(stood.split()[0]) >= 200 for who, stood in told.items() if who.startswith("g0")), told

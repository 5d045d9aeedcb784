"""Gateways that are restarted after their machine's wall clock was stepped, as processes, on one counter."""

import time
from pathlib import Path

import pytest

from tests.fleet import fleet, run, told
from tests.system_faults import SystemFaults
from tests.test_counter_faults import BURST, Customer, roomy

RATE = 2.0  # units a second that a quota refills


@pytest.mark.parametrize("step", [3_617.0, -3_617.0], ids=["forward", "back"])
def test_a_gateway_restarted_after_a_step_of_its_clock_gives_no_second_quota(
    tmp_path: Path, step: float
) -> None:
    """Guards a quota over the fleet, where the counter has no clock and the running ones keep theirs."""
    faults = SystemFaults(tmp_path)

    async def scenario() -> None:
        async with fleet(tmp_path, 2, boxes=4, edit=roomy, env=faults.environment) as deployment:
            for box in deployment.boxes:
                box._mean = {}
            faults.step_clock(step)
            await deployment.restart(1)
            await told(deployment.gateways[1], pid=deployment.gateways[1].process.pid, state="ready")
            customer, began = Customer(deployment), time.monotonic()
            served = await customer.spend((0, 1), 3 * BURST)
            assert served <= BURST + RATE * (time.monotonic() - began) + 2
            assert served >= 0.85 * BURST

    run(scenario)

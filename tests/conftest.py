"""The order in which the workers of a test run are given tests."""

import pytest

WHOLE_MACHINE = ("test_zones.py", "test_zone_faults.py", "test_local_zones.py", "test_losses.py")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Tests that start a dozen gateways run first, and one at a time.

    Several of them at once want more cores than there are: requests are then late because processes wait for
    a core, which no test can tell from a fault. They are the longest, so that all else runs beside them.
    """
    large = [item for item in items if item.path.name in WHOLE_MACHINE]
    for item in large:
        item.add_marker(pytest.mark.xdist_group("whole machine"))
    items[:] = large + [item for item in items if item.path.name not in WHOLE_MACHINE]

"""The world that stand-ins play by default: classes, plans, and how long a box works on what."""

from __future__ import annotations

from lynxreel.standins.ledger import Quota
from lynxreel.standins.traffic import Class

WORK = {"lookup": 0.008, "port-commit": 0.016, "port-hold": 0.012}  # seconds of a box's core, in the mean
CORES = 2
LOAD = 0.4  # of the boxes' cores, by default
CLASSES = [
    Class("lookup", False, 0.68, 1.0, 2.0),
    Class("port-commit", True, 0.32, 2.0, 7.5),
]
ALL = [*CLASSES, Class("port-hold", True, 0.25, 1.0, 4.0, keyed=True)]  # of all three effects
KEY_MEMORY = 10.0  # seconds for which boxes drop repeats under a key
AIMS = {"lookup": 800, "port-commit": 1_500, "port-hold": 1_000}
WORTH = {"lookup": 1.0, "port-commit": 3.0, "port-hold": 2.0}
PLANS = {"basic": Quota(1.2, 6.0), "standard": Quota(2.5, 10.0), "carrier": Quota(10.0, 20.0, 20.0, 40.0)}

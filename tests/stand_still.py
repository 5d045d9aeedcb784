"""How long the processes of a test stood still, told where it fails: a late rig is no late gateway."""

import asyncio
import re
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

LOOK = 0.01  # seconds between looks
ALLOWED = 0.15  # seconds for which a gateway may be held up, by the operators' page; deadlines allow for it
STOOD = re.compile(r'"stood_ms":\s*(\d+)')

_own = 0.0  # seconds that the running test's own loop stood still at the worst


async def _watch() -> None:
    global _own
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LOOK
        await asyncio.sleep(LOOK)
        _own = max(_own, loop.time() - due)


@contextmanager
def watched() -> Iterator[None]:
    """Watch the running loop meanwhile."""
    task = asyncio.get_running_loop().create_task(_watch())
    try:
        yield
    finally:
        task.cancel()


def reset() -> None:
    """A test begins."""
    global _own
    _own = 0.0


def gateways(folder: Path) -> dict[str, float]:
    """The longest stand-still of each gateway in seconds, by what it has written under this folder."""
    worst: dict[str, float] = {}
    for path in sorted(folder.rglob("*")):
        if path.is_file() and path.suffix in (".jsonl", ".json"):
            times = [int(time) / 1e3 for time in STOOD.findall(path.read_text(errors="replace"))]
            if times:
                name = str(path.relative_to(folder)).split("/")[0]
                worst[name] = max(worst.get(name, 0.0), *times)
    return worst


def told(folder: Path | None) -> str:
    """The longest stand-still of the test's own process, and of each gateway."""
    worst = gateways(folder) if folder is not None else {}
    lines = [f"the test's own process: {_own * 1e3:.0f} ms"]
    return "\n".join(lines + [f"{name}: {stood * 1e3:.0f} ms" for name, stood in worst.items()])

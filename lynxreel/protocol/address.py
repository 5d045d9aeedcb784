"""Where something listens."""

from __future__ import annotations

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """A host and a port from `HOST:PORT`; a ValueError where it is none."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65_536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)

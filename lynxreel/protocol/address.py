"""Addresses of listeners."""

from __future__ import annotations

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """Host and port from `HOST:PORT`; raises ValueError if the text is not of this form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65_536:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)

"""Who a request came from, told on to boxes as RFC 7239 has it, without I/O.

What a client says of itself is believed only where a trusted proxy passed it on: the list is read from its
end, and ends at the first address that is not a trusted proxy's.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
MOST = 1_000  # characters of a list that is read
PAIR = re.compile(r'\s*([!#$%&\'*+.^_`|~0-9A-Za-z-]+)=([!#$%&\'*+.^_`|~0-9A-Za-z-]+|"[^"\\]*")\s*')


def told(peer: str, headers: Mapping[str, str], trusted: tuple[Network, ...]) -> str:
    """The Forwarded field for a box: each address from the client on, `peer` last.

    `headers` by lower-case name, those of one name joined by commas.
    """
    chain = [peer]
    said = _chain(headers)
    while said and _within(chain[0], trusted):
        chain.insert(0, said.pop())
    return ", ".join(f"for={_node(address)}" for address in chain)


def _chain(headers: Mapping[str, str]) -> list[str]:
    """Addresses as they were told, the client's first; what can't be read cuts off all before it."""
    forwarded, older = headers.get("forwarded", ""), headers.get("x-forwarded-for", "")
    if len(forwarded) > MOST or len(older) > MOST:
        return []
    found: list[str] = []
    for element in (forwarded or older).split(",") if forwarded or older else ():
        text = _for(element) if forwarded else element.strip()
        address = _address(text) if text is not None else ""
        found = [*found, address] if address else []
    return found


def _for(element: str) -> str | None:
    """The `for` of one element; None where it is badly written or has none."""
    found = None
    for pair in element.split(";"):
        match = PAIR.fullmatch(pair)
        if match is None:
            return None
        if match[1].lower() == "for":
            found = match[2].strip('"')
    return found


def _address(text: str) -> str:
    """An address without its port, in its one spelling; empty for what is none (`unknown`, `_hidden`)."""
    if text.startswith("["):
        text = text[1:].partition("]")[0]
    elif text.count(":") == 1:
        text = text.partition(":")[0]
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return ""


def _within(address: str, networks: tuple[Network, ...]) -> bool:
    try:
        known = ipaddress.ip_address(address)
    except ValueError:
        return False
    return any(known in network for network in networks)


def _node(address: str) -> str:
    return f'"[{address}]"' if ":" in address else address or "unknown"

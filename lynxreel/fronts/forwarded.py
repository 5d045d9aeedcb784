"""Where a request came from, as the Forwarded field of RFC 7239 for boxes, without I/O.

An address that a client states is only trusted if a trusted proxy passed it on: the list is read from its
end, and ends at the first address that is not a trusted proxy's.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
MAX_FIELD_LENGTH = 1_000  # characters of a header field; longer ones are ignored
PAIR_PATTERN = re.compile(r'\s*([!#$%&\'*+.^_`|~0-9A-Za-z-]+)=([!#$%&\'*+.^_`|~0-9A-Za-z-]+|"[^"\\]*")\s*')


def forwarded_field(peer: str, headers: Mapping[str, str], trusted: tuple[Network, ...]) -> str:
    """Return the Forwarded field for a box: each address from the client on, `peer` last.

    `headers` by lower-case name, those of one name joined by commas.
    """
    chain = [peer]
    stated = _stated_addresses(headers)
    while stated and _in_networks(chain[0], trusted):
        chain.insert(0, stated.pop())
    return ", ".join(f"for={_node_identifier(address)}" for address in chain)


def _stated_addresses(headers: Mapping[str, str]) -> list[str]:
    """Addresses that the headers state, the client's first; an unreadable entry drops all before it."""
    forwarded, x_forwarded_for = headers.get("forwarded", ""), headers.get("x-forwarded-for", "")
    if len(forwarded) > MAX_FIELD_LENGTH or len(x_forwarded_for) > MAX_FIELD_LENGTH:
        return []
    found: list[str] = []
    for element in (forwarded or x_forwarded_for).split(",") if forwarded or x_forwarded_for else ():
        text = _for_parameter(element) if forwarded else element.strip()
        address = _normalized(text) if text is not None else ""
        found = [*found, address] if address else []
    return found


def _for_parameter(element: str) -> str | None:
    """The `for` parameter of one element; None if the element is malformed or has none."""
    found = None
    for pair in element.split(";"):
        match = PAIR_PATTERN.fullmatch(pair)
        if match is None:
            return None
        if match[1].lower() == "for":
            found = match[2].strip('"')
    return found


def _normalized(text: str) -> str:
    """An address without its port, normalized; empty if it is none (`unknown`, `_hidden`)."""
    if text.startswith("["):
        text = text[1:].partition("]")[0]
    elif text.count(":") == 1:
        text = text.partition(":")[0]
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return ""


def _in_networks(address: str, networks: tuple[Network, ...]) -> bool:
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        return False
    return any(parsed in network for network in networks)


def _node_identifier(address: str) -> str:
    return f'"[{address}]"' if ":" in address else address or "unknown"

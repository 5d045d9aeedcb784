"""Where a request came from: which addresses are trusted, and what boxes are sent."""

from ipaddress import ip_network

import pytest

from lynxreel.fronts.forwarded import forwarded_field

TRUSTED = (ip_network("10.0.0.0/8"), ip_network("fd00::/8"))


@pytest.mark.parametrize(
    ("peer", "headers", "expected"),
    [
        ("192.0.2.1", {}, "for=192.0.2.1"),
        ("192.0.2.1", {"forwarded": "for=198.51.100.7"}, "for=192.0.2.1"),  # stated by the client itself
        ("10.0.0.1", {"forwarded": "for=198.51.100.7"}, "for=198.51.100.7, for=10.0.0.1"),
        (
            "10.0.0.1",
            {"forwarded": 'for=203.0.113.9, For="[2001:db8::7]:4711";proto=https, for="10.0.0.2:80"'},
            'for="[2001:db8::7]", for=10.0.0.2, for=10.0.0.1',
        ),
        (
            "fd00::1",
            {"x-forwarded-for": "198.51.100.7, 10.1.1.1"},
            'for=198.51.100.7, for=10.1.1.1, for="[fd00::1]"',
        ),
        ("10.0.0.1", {"forwarded": "for=198.51.100.7, for=unknown"}, "for=10.0.0.1"),
        ("10.0.0.1", {"forwarded": "for=198.51.100.7, for=a b"}, "for=10.0.0.1"),
        ("10.0.0.1", {"forwarded": 'for="198.51.100.7'}, "for=10.0.0.1"),
        ("10.0.0.1", {"forwarded": "for=1.1.1.1," * 200 + "for=198.51.100.7"}, "for=10.0.0.1"),
        ("10.0.0.1", {"forwarded": "proto=https"}, "for=10.0.0.1"),
        ("", {}, "for=unknown"),
    ],
)
def test_only_addresses_from_trusted_proxies_are_accepted(
    peer: str, headers: dict[str, str], expected: str
) -> None:
    assert forwarded_field(peer, headers, TRUSTED) == expected

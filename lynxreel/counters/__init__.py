"""Clients of the counters that all gateways share."""

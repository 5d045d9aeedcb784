"""The number of gateways in a fleet, and how it changes in service."""

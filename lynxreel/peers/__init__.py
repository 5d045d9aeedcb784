"""Messages between the gateways of a fleet."""

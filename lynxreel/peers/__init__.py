"""Messages between the gateways of a fleet, and the clock that they share."""

"""How many gateways there are, while that changes."""

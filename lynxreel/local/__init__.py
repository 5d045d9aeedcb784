"""A whole deployment on this machine: stand-ins, gateways as processes, and a day that is played on them."""

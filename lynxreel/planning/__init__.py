"""Shares of traffic worked out ahead: the problem, its solver, and why there may be no solution. No I/O."""

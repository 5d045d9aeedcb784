"""Calls of operators' staff: what a line asks for and what is answered, and the listener for them."""

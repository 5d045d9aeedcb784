"""A model of what gateways balance, in virtual time; it drives the real deciding modules. No sockets.

Left out: connections as such (a box is reached, refuses, or is silent), the time that deciding takes, and
the front, which deals requests out as the load says.
"""

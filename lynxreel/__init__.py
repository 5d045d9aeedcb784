"""lynxreel: a quota gateway on real sockets, round mothgap's decisions."""

__version__ = "0.2.0.dev0"

"""lynxreel: the real gateway round mothgap's decisions, on sockets."""

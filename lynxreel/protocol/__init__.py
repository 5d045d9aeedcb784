"""Wire formats, without I/O."""

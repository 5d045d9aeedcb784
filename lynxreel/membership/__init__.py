"""The list of boxes from any source; `core` checks without I/O what a source reports."""

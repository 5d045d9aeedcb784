"""Leaving a zone that fails, as a fleet and not one by one, and coming back to it."""

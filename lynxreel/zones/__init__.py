"""The decision, common to a fleet, to stop using a zone that fails, and to return to it."""

"""Health of the shared counter: detects lost increments and restores them."""

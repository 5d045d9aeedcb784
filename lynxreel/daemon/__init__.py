"""The gateway as a daemon: its life, its lock, its state file, and what it tells the service manager."""

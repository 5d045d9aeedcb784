"""What instances of a fleet tell each other: who they are, who is up, lost and dead, and bounded messages."""

"""Links between the instances of a fleet: identity, liveness of each peer, and bounded message queues."""

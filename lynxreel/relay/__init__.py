"""Values that are forwarded while they arrive: a memory budget, and a stream from a server to a client."""

"""Values passed on as they come: how much may be held of them, and a stream from a server to a client."""

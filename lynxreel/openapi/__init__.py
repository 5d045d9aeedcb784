"""OpenAPI descriptions as the source of routes and costs: bytes in, a route table or problems out; no I/O."""

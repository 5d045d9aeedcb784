"""The engine between sockets and decision module: events, actions and open requests. No socket I/O."""

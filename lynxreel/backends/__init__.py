"""Connections to servers, on which attempts are sent."""

"""Fronts: the listeners that clients connect to, each with its protocol."""

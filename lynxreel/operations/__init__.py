"""Operator calls (READY, DRAIN, UNDRAIN): their interpretation and answers, and the listener for them."""

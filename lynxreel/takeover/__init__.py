"""Requests in hand that outlive their gateway: copies at another instance, which goes on in its place."""

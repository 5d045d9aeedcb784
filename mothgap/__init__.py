"""mothgap: quota decisions for gateways that meter many customers' use of one shared service."""

from mothgap.rules import Gateway

__all__ = ["Gateway"]

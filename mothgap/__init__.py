"""mothgap: quota decisions for gateways that meter the use of one shared service by many customers."""

from mothgap.rules import Gateway

__all__ = ["Gateway"]

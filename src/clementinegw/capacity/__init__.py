"""Computes each role's resource use at given sizes from measured slopes."""

from clementinegw.capacity import inputs
from clementinegw.capacity import model
from clementinegw.capacity import quantities
from clementinegw.capacity import table

__all__ = ["inputs", "model", "quantities", "table"]

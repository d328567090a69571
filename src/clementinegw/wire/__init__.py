"""Framed, authenticated and multiplexed connections between processes."""

from clementinegw.wire import auth
from clementinegw.wire import codec
from clementinegw.wire import connection

__all__ = ["auth", "codec", "connection"]

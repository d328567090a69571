"""The agent's gate, the only path from entries to the backend server."""

from clementinegw.gate import backends as backends
from clementinegw.gate import gate as gate
from clementinegw.gate import service as service
from clementinegw.gate import types as types

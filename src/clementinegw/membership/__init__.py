"""Group membership: which members are alive, leaving or dead.

The daemons run `service.Membership`. `swim.Swim` implements the protocol
without I/O, and `view` holds the types that membership returns.
"""

from clementinegw.membership import parameters
from clementinegw.membership import service
from clementinegw.membership import swim
from clementinegw.membership import view

__all__ = ["parameters", "service", "swim", "view"]

"""`clementinegw entry`: runs an entry daemon in the foreground."""

from clementinegw import exceptions
from clementinegw import types
from clementinegw.commands import _daemon
from clementinegw.daemons import entry

NAME = "entry"
HELP = """usage: clementinegw entry --config=FILE

Runs an entry, which forwards callers' HTTP requests to agents. On SIGTERM it
completes the requests in flight and exits; a second signal ends it at once."""

define = _daemon.define


async def run(args: list[str], flag_values) -> int:
    """Runs the daemon until a signal stops it."""
    if args:
        raise exceptions.UsageError(f"entry: unexpected {args[0]!r}")
    file = _daemon.read_instance_file(flag_values, types.Role.ENTRY)
    return await _daemon.run_until_signal(entry.Entry(file))

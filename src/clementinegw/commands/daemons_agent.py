"""`clementinegw agent`: runs an agent daemon in the foreground."""

from clementinegw import exceptions
from clementinegw import types
from clementinegw.commands import _daemon
from clementinegw.daemons import agent

NAME = "agent"
HELP = """usage: clementinegw agent --config=FILE

Runs an agent, which gates the backend server beside it. On SIGTERM it
completes the requests in flight and exits; a second signal ends it at once."""

define = _daemon.define


async def run(args: list[str], flag_values) -> int:
    """Runs the daemon until a signal stops it."""
    if args:
        raise exceptions.UsageError(f"agent: unexpected {args[0]!r}")
    file = _daemon.read_instance_file(flag_values, types.Role.AGENT)
    return await _daemon.run_until_signal(agent.Agent(file))

"""Command line: one module per command, dispatched by `commands.main`."""

"""Runs a daemon of the direct path until a signal stops it."""

import asyncio
from collections.abc import Callable
import gc
import pathlib
from typing import Any

from clementinegw import exceptions
from clementinegw import lifetime
from clementinegw import process_age
from clementinegw import types
from clementinegw.direct import _events
from clementinegw.direct import instance as instances
from clementinegw.direct import server as servers
from clementinegw.direct import topic_watch
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import errors
from clementinegw.telemetry import histograms as histograms_lib
from clementinegw.telemetry import logs
from clementinegw.telemetry import output

# How often the instance file is reread, in seconds.
_RELOAD_INTERVAL_S = 3.0
_METRICS_PATH = "/metrics"

MakePlatform = Callable[
    [instances.Instance, logs.Log, counters_lib.Counters], Any
]


async def run(
    args: list[str], path: pathlib.Path, make_platform: MakePlatform
) -> int:
    """Runs the daemon of a role.

    Args:
      args: The command line arguments: the name of the role.
      path: The instance file.
      make_platform: Creates the adapter to the platform.

    Returns:
      The exit code.

    Raises:
      exceptions.ClementineError: The role is unknown or the file is invalid.
    """
    if len(args) != 1 or args[0] not in _ROLES:
        names = " or ".join(_ROLES)
        raise exceptions.UsageError(f"expected one argument, the role: {names}")
    instance = instances.read(path)
    out = output.configure()
    log = logs.Log(instance=instance.name)
    out.on_dropped = lambda count: log.write(_events.LINES_DROPPED, count=count)
    counters = counters_lib.Counters()
    platform = make_platform(instance, log, counters)
    daemon = _ROLES[args[0]](instance, platform, log, counters)
    _keep_imported_objects()
    metrics_server = servers.Server(
        _MetricsHandler(counters, daemon.histograms, out).answer, log, counters
    )
    await metrics_server.listen(_metrics_address(instance, args[0]))
    watcher = _InstanceFileWatcher(path, instance, daemon, log, counters)
    watching = asyncio.ensure_future(watcher.watch())

    def log_failure(error: BaseException) -> None:
        counters.add("direct.process_failed")
        log.write(
            _events.PROCESS_FAILED,
            task=errors.task_name(error, "mode"),
            **errors.describe(error),
        )
        out.flush()

    try:
        return await lifetime.run_until_signal(
            daemon, watcher.reload_if_changed, log_failure
        )
    finally:
        out.flush()
        watching.cancel()
        try:
            await metrics_server.stop()
        finally:
            out.close()


class _MetricsHandler:
    """Serves the metrics of the process over HTTP."""

    def __init__(
        self,
        counters: counters_lib.Counters,
        histograms: histograms_lib.Histograms,
        out: output.Output,
    ):
        self._counters = counters
        self._histograms = histograms
        self._out = out

    async def answer(
        self, request: servers.Request, responder: servers.Responder
    ) -> None:
        """Answers one request."""
        if request.path != _METRICS_PATH:
            await responder.answer(404, [], b"")
            return
        self._counters.gauge("log.dropped", self._out.dropped)
        text = histograms_lib.page(self._counters, self._histograms)
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        await responder.answer(200, headers, text.encode())


def _metrics_address(instance: instances.Instance, role: str) -> types.Address:
    """Returns the address on the last peer port; the one before for agents."""
    port = instance.peer_ports[1] - (role == "agent")
    return types.Address(instance.host, port)


class _InstanceFileWatcher:
    """Rereads the instance file at SIGHUP and every few seconds.

    The platform may change the file without sending a signal. If the file is
    malformed or cannot be applied, the previous settings stay in force.
    """

    def __init__(
        self,
        path: pathlib.Path,
        instance: instances.Instance,
        daemon: Any,
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        self._path = path
        self._instance = instance
        self._daemon = daemon
        self._log = log
        self._counters = counters
        self._last_error = ""

    async def watch(self) -> None:
        """Rereads the file periodically, without end."""
        while True:
            await asyncio.sleep(_RELOAD_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Rereads the file and passes a changed instance to the daemon."""
        try:
            instance = instances.read(self._path)
        except exceptions.SettingsError as error:
            self._refuse(error.message)
            return
        if instance == self._instance:
            return
        try:
            self._daemon.reload(instance)
        except Exception as error:
            # An instance that cannot be applied must not end the rereading.
            # Some of its settings may be in force already.
            self._refuse(str(errors.describe(error)))
            self._daemon.reload(self._instance)
            return
        self._instance = instance
        self._last_error = ""
        self._log.write(_events.SETTINGS_RELOADED)

    def _refuse(self, reason: str) -> None:
        """Records why the file is not applied, once until the reason changes.

        The previous instance stays in force.
        """
        if reason != self._last_error:
            self._last_error = reason
            self._counters.add("direct.settings_refused")
            self._log.write(_events.SETTINGS_REFUSED, reason=reason)


def _make_entry(instance, platform, log, counters):
    from clementinegw.direct import entry

    return entry.Entry(
        instance, platform, log, counters, process_age_s=_process_age_s()
    )


def _make_agent(instance, platform, log, counters):
    from clementinegw.direct import agent

    return agent.Agent(
        instance, platform, log, counters, process_age_s=_process_age_s()
    )


def _keep_imported_objects() -> None:
    """Leaves out of garbage collections what is never freed."""
    gc.freeze()
    gc.enable()


def _process_age_s() -> float:
    return process_age.age_s(topic_watch.boot_time())


# Each function imports the module of its role only, which saves the memory of
# the other role's modules.
_ROLES: dict[str, Callable[..., Any]] = {
    "entry": _make_entry,
    "agent": _make_agent,
}

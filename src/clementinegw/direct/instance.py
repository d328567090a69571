"""The JSON instance file of a daemon on the direct path."""

import pathlib

import msgspec

from clementinegw import exceptions
from clementinegw import types

_MAX_PORT = 65_535


class _Place(msgspec.Struct):
    region: str
    failure_domain: str


class Bounds(msgspec.Struct, frozen=True):
    """The bounds that the platform's operators set for the system.

    Attributes:
      keys_ms: A revoked key is refused within this time, in milliseconds.
      weights_ms: A declared version is served within this time, in
        milliseconds.
      drain_ms: A leaving server gets its last request within this time, in
        milliseconds.
      listing_ms: The approximate interval at which a server renews its
        listing on the platform, in milliseconds; the listing expires after
        some intervals without renewal.
      settled_ms: The bounds apply to a machine after it has run for this time
        without a fault, in milliseconds.
      grace_s: The time that a process has for its shutdown, in seconds.
      repeat_ratio: The allowed retries per request, over all entries.
      repeat_slack: The retries allowed in a window in addition.
      repeat_window_s: The length of the window, in seconds.
      cold_ratio: The factor of the requests per second that a cold server
        bears, up to which all entries together may send to it; None if no
        bound is set.
      cold_slack: The requests in a second that are allowed in addition.
      evacuation_ms: A failure domain that is evacuated gets its last request
        within this time, in milliseconds; None if no bound is set.
    """

    keys_ms: float = 5_000.0
    weights_ms: float = 8_000.0
    drain_ms: float = 2_000.0
    listing_ms: float = 1_200.0
    settled_ms: float = 3_000.0
    grace_s: float = 8.0
    repeat_ratio: float = 0.2
    repeat_slack: float = 100.0
    repeat_window_s: float = 10.0
    cold_ratio: float | None = None
    cold_slack: float | None = None
    evacuation_ms: float | None = None


class _File(msgspec.Struct):
    name: str
    place: _Place
    host: str
    store_address: str
    regions: dict[str, str] = {}
    peer_ports: list[int] = []
    callers_address: str | None = None
    ready_address: str | None = None
    backend_address: str | None = None
    service: str | None = None
    link_mbps: float = 1_000.0
    memory_mb: float | None = None
    share_by_demand: bool = False
    bounds: Bounds | None = None


class Instance(msgspec.Struct, frozen=True):
    """The settings of a daemon.

    Attributes:
      name: A name that is unique among the live processes.
      place: Its region and failure domain.
      regions: The region of each failure domain.
      host: Its IP address.
      peer_ports: The first and the last port for its peers.
      store: The address of the platform's store.
      callers: The address on which an entry accepts requests; None for an
        agent.
      ready: The address on which an entry reports whether it accepts callers;
        None if it does not report it.
      backend: The address of an agent's backend server; None for an entry.
      service: The service of that server; empty for an entry.
      link_bytes_per_s: The rate of the machine's link, in bytes per second.
      bounds: The bounds that the platform's operators set for the system.
      memory_bytes: The memory that the process may use, in bytes; None if it is
        unknown.
      share_by_demand: Whether an entry's part of a server's free slots follows
        its demand, where the age of reported loads is known.
    """

    name: str
    place: types.Place
    regions: dict[str, str]
    host: str
    peer_ports: tuple[int, int]
    store: types.Address
    callers: types.Address | None
    ready: types.Address | None
    backend: types.Address | None
    service: str
    link_bytes_per_s: float
    bounds: Bounds
    memory_bytes: float | None = None
    share_by_demand: bool = False


def read(path: pathlib.Path) -> Instance:
    """Returns the instance that a file describes.

    Raises:
      exceptions.SettingsError: The file cannot be read or is invalid.
    """
    try:
        file = msgspec.json.decode(path.read_bytes(), type=_File)
        return _build_instance(file)
    except (OSError, ValueError, RecursionError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error


def _build_instance(file: _File) -> Instance:
    if len(file.peer_ports) != 2:
        raise ValueError("peer_ports: expected the first and the last port")
    return Instance(
        name=file.name,
        place=types.Place(file.place.region, file.place.failure_domain),
        regions=file.regions,
        host=file.host,
        peer_ports=(file.peer_ports[0], file.peer_ports[1]),
        store=parse_address(file.store_address),
        callers=_parse_optional_address(file.callers_address),
        ready=_parse_optional_address(file.ready_address),
        backend=_parse_optional_address(file.backend_address),
        service=file.service or "",
        link_bytes_per_s=file.link_mbps * 125_000.0,
        bounds=file.bounds or Bounds(),
        memory_bytes=file.memory_mb and file.memory_mb * 1e6,
        share_by_demand=file.share_by_demand,
    )


def parse_address(text: str) -> types.Address:
    """Returns the address that a text of the form IP:PORT denotes.

    Raises:
      ValueError: The text has a different form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(f"expected IP:PORT, found {text!r}")
    return types.Address(host, int(port))


def _parse_optional_address(text: str | None) -> types.Address | None:
    return parse_address(text) if text else None

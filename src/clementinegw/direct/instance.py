"""The instance file of a daemon on the direct path: JSON, checked once."""

import pathlib

import msgspec

from clementinegw import exceptions
from clementinegw import types


class _Place(msgspec.Struct):
    region: str
    failure_domain: str


class Bounds(msgspec.Struct, frozen=True):
    """What the operators of the platform hold the system to.

    Attributes:
      keys_ms: A key that was taken away stops within this, in milliseconds.
      weights_ms: A declared version serves within this, in milliseconds.
      drain_ms: A server that leaves gets its last request within this, in
        milliseconds.
      listing_ms: How often a server writes to the list, about, in
        milliseconds; it runs out after some of these without news.
      settled_ms: Bounds hold for a machine once it has run for so long without
        any trouble, in milliseconds.
      grace_s: What a process has to end, in seconds.
      repeat_ratio: Repeated sends for each request, over all entries.
      repeat_slack: Repeated sends in a window besides those.
      repeat_window_s: The window's length, in seconds.
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
    bounds: Bounds | None = None


class Instance(msgspec.Struct, frozen=True):
    """What a daemon knows of itself.

    Attributes:
      name: A name that no two live processes share.
      place: Where it stands.
      regions: The region of each failure domain.
      host: Its IP address.
      peer_ports: The first and the last port for its peers.
      store_address: The platform's store.
      callers_address: Where an entry takes requests; None for an agent.
      ready_address: Where an entry says whether it takes callers.
      backend_address: The backend server beside an agent; None for an entry.
      service: That server's service.
      link_bytes_per_s: The machine's link.
      bounds: What the operators of the platform hold the system to.
    """

    name: str
    place: types.Place
    regions: dict[str, str]
    host: str
    peer_ports: tuple[int, int]
    store_address: types.Address
    callers_address: types.Address | None
    ready_address: types.Address | None
    backend_address: types.Address | None
    service: str
    link_bytes_per_s: float
    bounds: Bounds


def read(path: pathlib.Path) -> Instance:
    """Returns the instance that a file describes.

    Raises:
      exceptions.SettingsError: It cannot be read, or does not fit.
    """
    try:
        file = msgspec.json.decode(path.read_bytes(), type=_File)
        return _build_instance(file)
    except (OSError, ValueError) as error:
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
        store_address=parse_address(file.store_address),
        callers_address=_parse_optional_address(file.callers_address),
        ready_address=_parse_optional_address(file.ready_address),
        backend_address=_parse_optional_address(file.backend_address),
        service=file.service or "",
        link_bytes_per_s=file.link_mbps * 125_000.0,
        bounds=file.bounds or Bounds(),
    )


def parse_address(text: str) -> types.Address:
    """Returns an address from IP:PORT.

    Raises:
      ValueError: It is none.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"expected IP:PORT, found {text!r}")
    return types.Address(host, int(port))


def _parse_optional_address(text: str | None) -> types.Address | None:
    return parse_address(text) if text else None

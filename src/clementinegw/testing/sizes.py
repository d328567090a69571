"""Deployment sizes: places, services, workers and customers."""

import dataclasses

from clementinegw import types


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSize:
    """The size of one service of a deployment.

    Attributes:
      name: The service's name.
      kind: The kind of its backend servers.
      workers: Number of workers, spread over the failure domains.
      checks_fencing: Whether its engines reject old fencing numbers.
    """

    name: str
    kind: types.ServiceKind
    workers: int
    checks_fencing: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size of a deployment.

    Attributes:
      name: The name of the size.
      places: The failure domains with their regions.
      entries: Number of entry instances.
      services: The services.
      customers: The customers with their weights.
    """

    name: str
    places: tuple[types.Place, ...]
    entries: int
    services: tuple[ServiceSize, ...]
    customers: tuple[tuple[str, float], ...]

    def place(self, number: int) -> types.Place:
        """Returns the place of instance `number`, assigned round-robin."""
        return self.places[number % len(self.places)]


_CUSTOMERS = tuple(
    (f"customer-{number}", 4.0 if number < 3 else 1.0) for number in range(10)
)

COOPERATIVE = Size(
    name="cooperative",
    places=(
        types.Place("noord", "groningen-hal"),
        types.Place("midden", "utrecht-hal"),
        types.Place("zuid", "eindhoven-hal"),
    ),
    entries=8,
    services=(
        ServiceSize("assistent", types.ServiceKind.MODEL_ENGINE, 6),
        ServiceSize("magazijn", types.ServiceKind.PLAIN, 3),
        ServiceSize("ledenadmin", types.ServiceKind.PLAIN, 1),
    ),
    customers=_CUSTOMERS,
)

FRANCHISE = Size(
    name="franchise",
    places=(
        types.Place("uy-sur", "mvd-sala-a"),
        types.Place("uy-norte", "sal-sala-a"),
        types.Place("uy-este", "mal-sala-a"),
    ),
    entries=9,
    services=(
        ServiceSize(
            "asistente-llm",
            types.ServiceKind.MODEL_ENGINE,
            5,
            checks_fencing=False,
        ),
        ServiceSize("tablas-taller", types.ServiceKind.PLAIN, 3),
        ServiceSize("oficina-general", types.ServiceKind.PLAIN, 1),
    ),
    customers=_CUSTOMERS,
)

SIZES = {size.name: size for size in (COOPERATIVE, FRANCHISE)}

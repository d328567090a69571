"""The checked models of external input: settings tree and instance files.

Knobs are declared in `knobs`; their values are looked up with `tree.resolve`.
"""

import ipaddress
import pathlib
from typing import Annotated, Any, Literal, TypeVar
import urllib.parse

import pydantic

from clementinegw import exceptions
from clementinegw import types
from clementinegw.settings import _errors
from clementinegw.settings import knobs

TREE_SCHEMA: Literal[1] = 1
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
_MAX_PORT = 65_535

Digest = Annotated[str, pydantic.Field(pattern=DIGEST_PATTERN)]
Version = Annotated[str, pydantic.Field(min_length=1, max_length=128)]
ModelT = TypeVar("ModelT", bound=knobs.Model)


def parse_address(text: object) -> types.Address:
    """Parses `HOST:PORT`, where HOST is an IP address, IPv6 in brackets.

    Raises:
      ValueError: The text is not such an address.
    """
    if isinstance(text, types.Address):
        return text
    if not isinstance(text, str):
        raise ValueError("expected an address such as 10.0.0.7:7400")
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError("expected an address such as 10.0.0.7:7400") from None
    if not 0 <= number <= _MAX_PORT:
        raise ValueError(f"expected a port of at most {_MAX_PORT}")
    return types.Address(str(ip), number)


def _check_url(url: str) -> str:
    parts = urllib.parse.urlsplit(url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("expected a URL such as http://10.0.0.7:8080")
    return url.rstrip("/")


Url = Annotated[str, pydantic.AfterValidator(_check_url)]
AddressText = Annotated[
    types.Address,
    pydantic.BeforeValidator(parse_address),
    pydantic.PlainSerializer(str, return_type=str),
]


class ModelVersion(knobs.Model):
    """A declared model version; its manifest is the root of trust."""

    name: knobs.Name = pydantic.Field(description="The model's name.")
    version: Version = pydantic.Field(description="The version's name.")
    manifest: Digest = pydantic.Field(
        description="Digest of the version's manifest, 64 hex digits."
    )


class Adapter(knobs.Model):
    """An adapter that the engines of a service load with the model."""

    name: knobs.Name = pydantic.Field(description="The adapter's name.")
    version: Version = pydantic.Field(description="The version's name.")
    manifest: Digest = pydantic.Field(
        description="Digest of the adapter's manifest."
    )


class Operation(knobs.Model):
    """Declared properties of one operation of a service."""

    method: str = pydantic.Field(
        pattern=r"^[A-Z]+$", description="The HTTP method."
    )
    path: str = pydantic.Field(
        pattern=r"^/",
        description="The path; `*` at the end matches any suffix.",
    )
    idempotent: bool = pydantic.Field(
        description="Whether running the operation twice does no harm."
    )


class Region(knobs.Model):
    """A region."""

    settings: knobs.Knobs = knobs.Knobs()


class FailureDomain(knobs.Model):
    """A failure domain and its region."""

    region: knobs.Name = pydantic.Field(description="Its region.")
    settings: knobs.Knobs = knobs.Knobs()


class Service(knobs.Model):
    """A service and the model version that its fleet is to serve."""

    kind: types.ServiceKind = pydantic.Field(
        description="The kind of its backend servers."
    )
    model: ModelVersion | None = pydantic.Field(
        default=None, description="The version to serve, for model engines."
    )
    previous: ModelVersion | None = pydantic.Field(
        default=None,
        description="The previous version, whose chunks may be kept.",
    )
    workers: int | None = pydantic.Field(
        default=None,
        ge=1,
        le=100_000,
        description="Number of workers it has, for `max_out_share`; if absent,"
        " each agent counts the workers that it sees.",
    )
    adapters: tuple[Adapter, ...] = pydantic.Field(
        default=(), description="Adapters loaded with the model."
    )
    operations: tuple[Operation, ...] = pydantic.Field(
        default=(),
        description="Operations by path; one that is not listed is taken to be"
        " idempotent only if its method is GET or HEAD.",
    )
    checks_fencing: bool = pydantic.Field(
        default=False,
        description="Whether its servers refuse outdated fencing numbers.",
    )
    settings: knobs.Knobs = knobs.Knobs()


class Customer(knobs.Model):
    """A customer's weight and settings."""

    weight: float = pydantic.Field(
        default=1.0,
        gt=0,
        le=1_000,
        description="Its relative share of a service at full load.",
    )
    settings: knobs.Knobs = knobs.Knobs()


class Tree(knobs.Model):
    """The operators' settings tree; later levels win.

    The levels are defaults, region, failure domain, service, customer.
    """

    schema_number: Literal[1] = pydantic.Field(
        default=TREE_SCHEMA, alias="schema", description="The tree's schema."
    )
    defaults: knobs.Knobs = knobs.Knobs()
    regions: dict[knobs.Name, Region] = pydantic.Field(default_factory=dict)
    failure_domains: dict[knobs.Name, FailureDomain] = pydantic.Field(
        default_factory=dict
    )
    services: dict[knobs.Name, Service] = pydantic.Field(default_factory=dict)
    customers: dict[knobs.Name, Customer] = pydantic.Field(default_factory=dict)

    @pydantic.model_validator(mode="after")
    def _regions_exist(self) -> "Tree":
        check_references(self)
        return self


def check_references(tree: Tree) -> None:
    """Checks the references between parts of a tree.

    Raises:
      ValueError: A part refers to another that does not exist.
    """
    for name, domain in sorted(tree.failure_domains.items()):
        if domain.region not in tree.regions:
            raise ValueError(
                f"failure_domains.{name}.region: expected a region of the"
                f' tree, found "{domain.region}"'
            )


class Listen(knobs.Model):
    """The addresses that a process listens on."""

    http: AddressText = pydantic.Field(
        description="HTTP: callers of an entry; health checks of each process."
    )
    peer: AddressText = pydantic.Field(
        description="Peers: connections (TCP) and membership (UDP)."
    )
    admin: AddressText | None = pydantic.Field(
        default=None,
        description="The `/status` page for operators; not served if absent.",
    )


class Platform(knobs.Model):
    """The base URLs of the platform's services."""

    log: Url = pydantic.Field(description="Base URL of the log service.")
    instances: Url = pydantic.Field(
        description="Base URL of the instance list."
    )
    store: Url = pydantic.Field(description="Base URL of the weight store.")
    origin: Url = pydantic.Field(description="Base URL of the origin.")


class Backend(knobs.Model):
    """The backend server of an agent."""

    service: knobs.Name = pydantic.Field(
        description="The service that it serves."
    )
    kind: types.ServiceKind = pydantic.Field(description="Its kind.")
    url: Url = pydantic.Field(description="Its base URL.")


class TlsFiles(knobs.Model):
    """PEM files for TLS between the gateway's processes."""

    certificate: str = pydantic.Field(
        description="This instance's certificate."
    )
    key: str = pydantic.Field(description="The key of the certificate.")
    authority: str = pydantic.Field(
        description="The authority that signs every instance's certificate."
    )


class PlaceModel(knobs.Model):
    """The place of an instance."""

    region: knobs.Name = pydantic.Field(description="Its region.")
    failure_domain: knobs.Name = pydantic.Field(
        description="Its failure domain."
    )


class InstanceFile(knobs.Model):
    """The configuration that one process reads at its start."""

    instance_id: knobs.Name = pydantic.Field(
        description="A name that no two live processes share."
    )
    role: types.Role = pydantic.Field(description="`entry` or `agent`.")
    place: PlaceModel = pydantic.Field(
        description="Its region and failure domain."
    )
    listen: Listen = pydantic.Field(
        description="The addresses that it listens on."
    )
    advertise: AddressText | None = pydantic.Field(
        default=None,
        description="Address that peers use; `listen.peer` if absent.",
    )
    platform: Platform = pydantic.Field(description="The platform's services.")
    seeds: tuple[AddressText, ...] = pydantic.Field(
        default=(),
        description="Peers to contact first, besides the platform's list.",
    )
    key_file: str | None = pydantic.Field(
        default=None,
        description="File with the deployment's keys. If absent, peers need no"
        " proof; for tests only.",
    )
    tls: TlsFiles | None = pydantic.Field(
        None,
        description="TLS between the gateway's processes; plain TCP if absent.",
    )
    statsd: AddressText | None = pydantic.Field(
        default=None, description="The address to which metrics are sent."
    )
    backend: Backend | None = pydantic.Field(
        default=None, description="The backend server, for an agent."
    )

    @pydantic.model_validator(mode="after")
    def _backend_fits_role(self) -> "InstanceFile":
        if self.role is types.Role.AGENT and self.backend is None:
            raise ValueError('backend: expected for the role "agent"')
        if self.role is not types.Role.AGENT and self.backend is not None:
            raise ValueError(f'backend: not expected for role "{self.role}"')
        return self

    def to_place(self) -> types.Place:
        """Returns the place as a `types.Place`."""
        return types.Place(self.place.region, self.place.failure_domain)


def parse_json(model: type[ModelT], text: str | bytes, source: str) -> ModelT:
    """Checks JSON text against a model.

    Args:
      model: The model.
      text: The JSON text.
      source: The name of the text in an error.

    Raises:
      exceptions.SettingsError: The text is invalid. The message is one line:
        JSON path, expected, found.
    """
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsError(
            f"{source}: {_errors.describe(error, model)}"
        ) from None


def parse_tree(data: dict[str, Any] | str | bytes, source: str = "settings"):
    """Checks a settings tree.

    Args:
      data: The tree as JSON text or as decoded JSON.
      source: The name of the tree in an error.

    Returns:
      A `Tree`.

    Raises:
      exceptions.SettingsError: The tree is invalid.
    """
    if isinstance(data, dict):
        data = _errors.dump_json(data)
    return parse_json(Tree, data, source)


def parse_instance_file(path: str | pathlib.Path) -> InstanceFile:
    """Reads and checks an instance file.

    Raises:
      exceptions.SettingsError: The file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(
            f"{path}: cannot be read: {error.strerror}"
        ) from None
    return parse_json(InstanceFile, text, str(path))


def dump_tree(tree: Tree) -> dict[str, Any]:
    """Returns the tree as JSON, with only the fields that were set."""
    return tree.model_dump(mode="json", by_alias=True, exclude_unset=True)

"""Thrift structs to bytes and back, by the accelerated compact protocol."""

from typing import Any, TypeVar

from thrift import Thrift
from thrift.transport import TTransport

from clementinegw import exceptions

T = TypeVar("T")

# The generated code falls back to plain Python, 15 times slower, without a
# word when the C extension is missing. One would notice it only as CPU time.
try:
    from thrift.protocol import fastbinary as _fastbinary
except ImportError as error:
    raise exceptions.InvariantError(
        "thrift was installed without its C extension `fastbinary`; "
        "install it again where a C compiler is present"
    ) from error

assert _fastbinary is not None

_DECODE_ERRORS = (
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    MemoryError,
    Thrift.TException,
    TTransport.TTransportException,
)


class _DecoderProtocol:
    """What the C decoder needs of a protocol, without its other parts.

    No string or list can be longer than the data. Without the limits a few
    hostile bytes could ask for a list of billions; one would notice it as a
    process that the kernel ends for its memory.
    """

    __slots__ = ("container_length_limit", "string_length_limit", "trans")

    def __init__(self, data: bytes):
        self.trans = TTransport.TMemoryBuffer(data)
        self.string_length_limit = len(data)
        self.container_length_limit = len(data)


def encode(struct: Any) -> bytes:
    """Returns the compact encoding of a thrift struct.

    What the struct's own `write` does in the end, without making a buffer and
    a protocol for it: these cost twice as much as the encoding.
    """
    return _fastbinary.encode_compact(
        struct, [type(struct), struct.thrift_spec]
    )


def decode(struct_class: type[T], data: bytes) -> T:
    """Decodes a thrift struct.

    Args:
      struct_class: A generated class.
      data: What `encode` returned, perhaps at another process.

    Returns:
      The struct, with every required field present.

    Raises:
      exceptions.DecodeError: The bytes are no such struct.
    """
    struct: Any = struct_class()
    try:
        _fastbinary.decode_compact(
            struct, _DecoderProtocol(data), [struct_class, struct.thrift_spec]
        )
        struct.validate()
    except _DECODE_ERRORS as error:
        raise exceptions.DecodeError(
            f"{struct_class.__name__}: {error or type(error).__name__}"
        ) from error
    return struct

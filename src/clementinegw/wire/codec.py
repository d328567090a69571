"""Encodes and decodes Thrift structs with the accelerated compact protocol."""

from typing import Any, TypeVar

from thrift import Thrift
from thrift.transport import TTransport

from clementinegw import exceptions

T = TypeVar("T")

# Without the C extension, the generated code silently falls back to plain
# Python, which is 15 times slower and would show only as CPU time.
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
    """The attributes of a protocol that the C decoder reads.

    No string or list can be longer than the data. Without these limits, a few
    malicious bytes could announce a list of billions of entries, and the
    kernel would kill the process for its memory use.
    """

    __slots__ = ("container_length_limit", "string_length_limit", "trans")

    def __init__(self, data: bytes):
        self.trans = TTransport.TMemoryBuffer(data)
        self.string_length_limit = len(data)
        self.container_length_limit = len(data)


def encode(struct: Any) -> bytes:
    """Returns the compact encoding of a Thrift struct.

    Calls the C encoder directly. The struct's own `write` needs a buffer and a
    protocol object, which cost twice as much as the encoding.
    """
    return _fastbinary.encode_compact(
        struct, [type(struct), struct.thrift_spec]
    )


def decode(struct_class: type[T], data: bytes) -> T:
    """Decodes a Thrift struct.

    Args:
      struct_class: A generated class.
      data: The bytes that `encode` returned, also in another process.

    Returns:
      The struct, with every required field present.

    Raises:
      exceptions.DecodeError: The bytes are not a valid struct of the class.
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

"""The interface for translating the platform's HTTP headers."""

from collections.abc import Iterable
from typing import Protocol

from clementinegw.direct import client
from clementinegw.direct import types

RawHeaders = Iterable[tuple[bytes, bytes]]


class HeaderCodec(Protocol):
    """Translates between HTTP headers and metadata; makes no decisions."""

    def request_metadata(self, headers: RawHeaders) -> types.RequestMetadata:
        """Returns the metadata in a caller's headers.

        Raises:
          ValueError: A header is malformed.
        """

    def answer_metadata(self, head: client.Head) -> types.AnswerMetadata:
        """Returns the metadata in a server's headers without malformed ones."""

    def to_server_headers(
        self, headers: RawHeaders, metadata: types.ForwardMetadata
    ) -> client.Headers:
        """Returns the headers to send to a server for a caller's request."""

    def to_caller_headers(self, head: client.Head) -> client.Headers:
        """Returns the headers to send to the caller for a server's answer."""

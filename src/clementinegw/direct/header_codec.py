"""What the direct path asks of whoever knows the platform's headers."""

from collections.abc import Iterable
from typing import Protocol

from clementinegw.direct import client
from clementinegw.direct import types

RawHeaders = Iterable[tuple[bytes, bytes]]


class HeaderCodec(Protocol):
    """Translates between headers and facts; decides nothing."""

    def request_metadata(self, headers: RawHeaders) -> types.RequestMetadata:
        """Returns what a caller's headers say.

        Raises:
          ValueError: A header cannot be read.
        """

    def answer_metadata(self, head: client.Head) -> types.AnswerMetadata:
        """Returns what a server's headers say; unreadable ones say nothing."""

    def to_server_headers(
        self, headers: RawHeaders, sending: types.ForwardMetadata
    ) -> client.Headers:
        """Returns a caller's headers as a server is sent them."""

    def to_caller_headers(self, head: client.Head) -> client.Headers:
        """Returns a server's headers as the caller gets them."""

"""Tests that operations match their paths in any encoding."""

import pytest

from clementinegw import types
from clementinegw.requests import rules

RULES = rules.Rules(
    "magazijn",
    types.ServiceKind.PLAIN,
    operations=(
        rules.Operation("GET", "/bookings", False),
        rules.Operation("POST", "/search*", True),
    ),
)


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [
        ("GET", "/bookings", False),
        ("GET", "/%62ookings", False),
        ("GET", "/bookings?again=1", False),
        ("GET", "/items", True),
        ("POST", "/search/seats", True),
        ("POST", "/%73earch/seats", True),
        ("POST", "/bookings", False),
    ],
)
def test_operation_matches_percent_encoded_path(method, path, idempotent):
    """Guards against two bookings for one call to a declared operation.

    A caller percent-encodes the path of the operation, and a lost attempt is
    retried. The declaration was compared with the encoded path, which the
    backend server decodes.
    """
    assert RULES.idempotent(method, path) is idempotent

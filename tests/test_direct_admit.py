"""Which requests are admitted, by their keys."""

import dataclasses
import types as builtin_types

import pytest

from clementinegw.direct import admit
from clementinegw.direct import catalog
from clementinegw.direct import outcomes
from clementinegw.direct import types

KNOWN = "known"
REVOKED = "revoked"
UNKNOWN = "unknown"
FRESH_S = 0.5
# A view of the configuration is as old as this, in seconds.
STALE_S = 3.0

ROUTE = types.Route(
    name="route",
    host="h",
    prefix="/",
    repeat_policy=types.RepeatPolicy.SAFE,
    targets=(types.Target("plain", 1.0),),
    timeout_s=3.0,
    objective_s=0.4,
    priority=0,
    max_attempts=3,
)


def admitted(key, anonymous, age_s=FRESH_S):
    """Returns the customer's name, or the status and reason of the refusal."""
    route = dataclasses.replace(ROUTE, anonymous=anonymous)
    customers = {KNOWN: types.Customer("customer")}
    view = admit.ConfigView(
        catalog.Catalog(
            types.Configuration(2, (route,), {}, customers, requires_key=True)
        ),
        lambda: age_s,
        max_key_age_s=2.0,
        max_rejection_age_s=2.0,
    )
    request = builtin_types.SimpleNamespace(host="h", path="/")
    result = admit.match(view, request, types.RequestMetadata(key=key))
    if isinstance(result, outcomes.Refusal):
        return result.status, result.reason
    return result.customer and result.customer.name


NO_KEY = (401, outcomes.RefusalReason.NO_KEY)
STALE_KEYS = (503, outcomes.RefusalReason.STALE_KEYS)


@pytest.mark.parametrize(
    ("key", "anonymous", "expected"),
    [
        ("", True, None),
        (KNOWN, True, "customer"),
        (UNKNOWN, True, NO_KEY),
        (REVOKED, True, NO_KEY),
        ("", False, NO_KEY),
        (KNOWN, False, "customer"),
        (UNKNOWN, False, NO_KEY),
        (REVOKED, False, NO_KEY),
    ],
)
def test_only_requests_without_a_key_are_anonymous(key, anonymous, expected):
    """A request with a revoked key was served on a route for anyone."""
    assert admitted(key, anonymous) == expected


@pytest.mark.parametrize("anonymous", [True, False])
@pytest.mark.parametrize("key", [KNOWN, UNKNOWN])
def test_an_old_configuration_decides_on_no_key(key, anonymous):
    assert admitted(key, anonymous, STALE_S) == STALE_KEYS


def test_an_old_configuration_serves_anonymous_requests():
    assert admitted("", True, STALE_S) is None

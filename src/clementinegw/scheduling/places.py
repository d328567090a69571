"""Where a request may be served.

It answers requests that operators restrict to some regions, whatever the load:
a full region does not make another one allowed.
"""

from collections.abc import Mapping

# The regions that a request may be served in; None for any.
Regions = frozenset[str] | None


def intersect(*limits: Regions) -> Regions:
    """Returns the regions that all limits allow; empty if there is none."""
    result: Regions = None
    for limit in limits:
        if limit is not None:
            result = limit if result is None else result & limit
    return result


def is_allowed(
    domain: str, regions: Regions, region_of: Mapping[str, str]
) -> bool:
    """Returns whether a request may be served in a failure domain.

    Args:
      domain: The failure domain. One of an unknown region is allowed only if
        any region is.
      regions: The regions that the request may be served in.
      region_of: Region of each failure domain.
    """
    return regions is None or region_of.get(domain) in regions

"""Formulas for the rows of the capacity table."""

from collections.abc import Callable, Mapping

from clementinegw.capacity import quantities

S_PER_DAY = 86_400.0
US_PER_S = 1e6
PERCENT = 100.0
BITS_PER_BYTE = 8
BYTES_PER_KB = 1024.0
BYTES_PER_MB = 1024.0 * 1024.0


def control_cpu(sizes: quantities.Sizes, slopes: Mapping[str, float]) -> float:
    """Returns the processor time for control, in percent of a core."""
    membership = (
        slopes["control_core_base"]
        + slopes["control_core_per_member"] * sizes.members_per_domain
    )
    changes = sizes.changes_per_day / S_PER_DAY
    settings = slopes["settings_cpu_us_per_change"] * changes / US_PER_S
    return (membership + settings) * PERCENT


def agent_membership_traffic(
    sizes: quantities.Sizes, slopes: Mapping[str, float]
) -> float:
    """Returns an agent's membership traffic, both directions, in KB/s."""
    return (
        slopes["control_bytes_base"]
        + slopes["control_bytes_per_member"] * sizes.members_per_domain
    ) / BYTES_PER_KB


def entry_membership_traffic(
    sizes: quantities.Sizes, slopes: Mapping[str, float]
) -> float:
    """Returns an entry's membership traffic, both directions, in KB/s."""
    other_domains = sizes.failure_domains - 1
    summaries = slopes["control_bytes_per_other_domain"] * other_domains
    return agent_membership_traffic(sizes, slopes) + summaries / BYTES_PER_KB


def connections(sizes: quantities.Sizes, slopes: Mapping[str, float]) -> float:
    """Returns the number of agents that an entry is connected to."""
    remote_per_domain = max(1, sizes.subset_size // int(slopes["far_part"]))
    other_domains = sizes.failure_domains - 1
    local = min(sizes.subset_size, sizes.agents / sizes.failure_domains)
    return local + other_domains * remote_per_domain


def status_traffic(role: quantities.Role) -> quantities.Formula:
    """Returns the formula for a role's status notices, in KB/s."""

    def formula(sizes: quantities.Sizes, slopes: Mapping[str, float]) -> float:
        total_connections = connections(sizes, slopes) * sizes.entries
        bytes_per_s = (
            slopes["status_bytes"] * slopes["status_per_s"]
            + slopes["load_bytes"] * slopes["load_per_s"]
        )
        return (
            total_connections
            / process_count(sizes, role)
            * bytes_per_s
            / BYTES_PER_KB
        )

    return formula


def control_traffic(role: quantities.Role) -> quantities.Formula:
    """Returns the formula for a role's whole control traffic, in KB/s."""
    membership = {
        quantities.Role.ENTRY: entry_membership_traffic,
        quantities.Role.AGENT: agent_membership_traffic,
    }[role]
    status = status_traffic(role)
    return lambda sizes, slopes: (
        membership(sizes, slopes) + status(sizes, slopes)
    )


def request_cpu(role: quantities.Role) -> quantities.Formula:
    """Returns the formula for a role's request processing, in % of a core."""

    def formula(sizes: quantities.Sizes, slopes: Mapping[str, float]) -> float:
        cost = slopes[f"{role}_cpu_us_per_request"]
        return requests(role)(sizes, slopes) * cost / US_PER_S * PERCENT

    return formula


def token_cpu(role: quantities.Role) -> quantities.Formula:
    """Returns the formula for a role's token forwarding, in % of a core."""

    def formula(sizes: quantities.Sizes, slopes: Mapping[str, float]) -> float:
        cost = slopes["token_cpu_us"]
        return tokens(role)(sizes, slopes) * cost / US_PER_S * PERCENT

    return formula


def process_count(sizes: quantities.Sizes, role: quantities.Role) -> int:
    """Returns the number of processes that have a role."""
    return sizes.entries if role is quantities.Role.ENTRY else sizes.agents


def requests(role: quantities.Role) -> quantities.Formula:
    """Returns the formula for requests per second in one process of a role."""
    return lambda sizes, _: sizes.requests_per_s / process_count(sizes, role)


def tokens(role: quantities.Role) -> quantities.Formula:
    """Returns the formula for tokens per second in one process of a role."""
    return lambda sizes, _: sizes.tokens_per_s / process_count(sizes, role)


def memory(
    member_count: Callable[[quantities.Sizes], float],
) -> quantities.Formula:
    """Returns the formula for a process's memory, in MB.

    Args:
      member_count: Returns the number of members that the process knows.
    """
    return lambda sizes, slopes: (
        slopes["memory_mb_base"]
        + slopes["memory_mb_per_member"] * member_count(sizes)
    )


def claims_per_s(sizes: quantities.Sizes) -> float:
    """Returns the number of claims per second."""
    return sizes.requests_per_s * sizes.keyed_share


def control_cpu_budget(sizes: quantities.Sizes) -> float:
    """Returns the processor budget for control, in percent of a core."""
    return sizes.budget_core_percent


def memory_budget(sizes: quantities.Sizes) -> float:
    """Returns the memory budget of a process, in MB."""
    return sizes.budget_memory_mb


def control_traffic_budget(sizes: quantities.Sizes) -> float:
    """Returns the budget for a process's control traffic, in KB/s."""
    return sizes.budget_control_kb_per_s


def append_budget(sizes: quantities.Sizes) -> float:
    """Returns the number of appends per second that the log accepts."""
    return sizes.budget_appends_per_s

"""Settings of an edge daemon."""

import attrs

DEFAULT_STORE_WRITES_PER_S = 400.0


@attrs.frozen(kw_only=True)
class Bounds:
    """Times and limits that the deployment sets for the whole system; times in seconds."""

    # Time from SIGTERM until the process is killed.
    stop_limit_s: float
    # Longest time for which callers may cache the addresses of daemons.
    max_address_ttl_s: float
    # Retries per call that are allowed in a window.
    retry_ratio: float
    retry_window_s: float
    # Retries that are allowed in a window in addition to the ratio, over all daemons.
    retry_allowance: float
    quota_window_s: float
    # By how much usage in a quota window may exceed the limit: as a fraction of it, and in units.
    quota_overshoot: float
    quota_allowance: float
    # Limits on the requests that a bad version receives while a service is moved to it: as a
    # fraction of the requests of the service, and in requests, over all daemons. Services are moved
    # only if these and the next limit are set.
    canary_share: float | None = None
    canary_allowance: float | None = None
    # After its 50th bad response, a bad version receives requests for no longer than this.
    rollback_timeout_s: float | None = None

    @property
    def stopped_retention_s(self) -> float:
        """The time for which a stopping daemon is counted after its last heartbeat.

        Its process may serve until `stop_limit_s`, and the retries that it has sent count against
        the allowance for one more window.
        """
        return self.stop_limit_s + self.retry_window_s


@attrs.frozen(kw_only=True)
class EdgeSettings:
    """The settings of an edge daemon at its start; addresses are host:port."""

    name: str
    zone: str
    region: str
    regions: dict[str, str]
    host: str
    callers_address: str
    ready_address: str
    directory_address: str
    control_address: str
    heartbeat_port: int
    # Control addresses of some other daemons; the list may be outdated.
    seeds: tuple[str, ...]
    is_first_start: bool
    # Processor time that this machine provides, in cores.
    cores: float
    # Memory limit of the process in MB; 0 if none is stated.
    memory_mb: float = 0
    # Whether calls leave the region by what it gains and costs them; see docs/design/egress.md.
    leaves_region: bool = False
    store_url: str
    bounds: Bounds
    # Write calls that all daemons together may send to the store.
    store_writes_per_s: float = DEFAULT_STORE_WRITES_PER_S
    log_level: str = 'INFO'

    @property
    def control_port(self) -> str:
        """The port of the control address, the same on all machines."""
        return self.control_address.rpartition(':')[2]

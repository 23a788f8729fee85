"""Settings files of hosted entries that use stand-ins, for soak and tests."""

TEMPLATE = """
[entry]
name = {name}
data_centre = {data_centre}
regions = {regions}
[listen]
callers = {callers}
readiness = {readiness}
metrics = {metrics}
peers = {peers}
[platform]
address = {store}
partitions = {partitions}
least_ttl_ms = {least_ttl_ms}
heartbeat_ms = {heartbeat_ms}
[bounds]
revoke_ms = {revoke_ms}
stall_ms = {stall_ms}
stop_s = {stop_s}
retry_extra = {retry_extra}
"""
DEFAULTS = {
    "name": "entry-1",
    "data_centre": "dc",
    "regions": "dc:r",
    "partitions": 2,
    "least_ttl_ms": 500,
    "heartbeat_ms": 300,
    "revoke_ms": 5000,
    "stall_ms": 300,
    "stop_s": 8.0,
    "retry_extra": 100,
}


def render(**values: object) -> str:
    """Return the text of a settings file.

    Parameters
    ----------
    values : dict
        The listen addresses, the address of the store, and values that
        replace those of ``DEFAULTS``.
    """
    return TEMPLATE.format(**{**DEFAULTS, **values})

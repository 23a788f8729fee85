"""Makes the configurations of the soak's hosted platform."""

from collections import abc

# VMs in a group, by model.
MODELS = {"big": 3, "small": 2}
HOST = "shop.example"
# Time until a member is ready, and until an open group serves.
JOIN_S = 0.2
FORM_S = 0.1
# How long a restarted engine is cold, and its requests a second then.
COLD_S = 1.5
COLD_PER_S = 8.0


def make(version: int, revoked: abc.Collection[str] = ()) -> object:
    """Return a configuration.

    Routes named after the version and the one before, and a key named after
    the version, show callers which version an entry uses.
    """
    plain = {"timeout_ms": 4000, "slo_ms": 200, "host": HOST}
    routes = [
        {
            **plain,
            "name": "drafts",
            "path_prefix": "/drafts/",
            "kind": "streaming",
            "slo_ms": 500,
            "service": "assistant",
            "max_attempts": 2,
            "resumable": True,
        },
        {
            **plain,
            "name": "orders",
            "path_prefix": "/orders/",
            "kind": "non_idempotent",
            "service": "ledger",
        },
    ]
    routes += [
        {
            **plain,
            "name": f"stock-{number}",
            "path_prefix": f"/stock-{number}/",
            "kind": "idempotent",
            "service": "ledger",
            "max_attempts": 2,
        }
        for number in (version - 1, version)
    ]
    engine = {
        "slots": 8,
        "loads_per_s": 20,
        "form_ms": FORM_S * 1000,
        "models": [
            {
                "name": name,
                "size": size,
                "share": 0.5,
                "load_s": JOIN_S,
                "warm_s": JOIN_S,
            }
            for name, size in MODELS.items()
        ],
    }
    services = [
        {
            "name": "assistant",
            "cold_s": COLD_S,
            "cold_per_s": COLD_PER_S,
            "engine": engine,
        },
        {"name": "ledger"},
    ]
    keys = [k for k in ("key-0", f"key-{version}") if k not in revoked]
    tenant = {"name": "w", "api_keys": keys, "priority": 1}
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [tenant],
    }

"""Defines the kind, unit, labels and meaning of every metric.

docs/metrics.md explains how to act on each; a test compares the two.
"""

import typing as t


class Metric(t.NamedTuple):
    """Describes one metric.

    Parameters
    ----------
    kind : {"counter", "gauge", "histogram"}
        A gauge of the fleet's state covers what this entry owns, so the
        sum or the maximum over all entries gives the value of the fleet.
    unit : str
        Unit of the value.
    labels : tuple of str
        Names of the labels, which follow the metric in a series name.
    meaning : str
        Description in one sentence.
    """

    kind: t.Literal["counter", "gauge", "histogram"]
    unit: str
    labels: tuple[str, ...]
    meaning: str


_REQUEST_LABELS = ("workspace", "priority")

METRICS: dict[str, Metric] = {
    "clock_gaps": Metric(
        "counter",
        "gaps",
        (),
        "Gaps between the clocks that made this entry drop its lease.",
    ),
    "requests_served": Metric(
        "counter",
        "requests",
        _REQUEST_LABELS,
        "Whole answers given to callers.",
    ),
    "model_demand": Metric(
        "gauge",
        "groups",
        ("model",),
        "Work that callers of all entries ask of a model, in busy groups.",
    ),
    "fleet_requests": Metric(
        "gauge",
        "requests",
        (),
        "Requests of the other entries at backend servers, as they report.",
    ),
    "load_reports_failed": Metric(
        "counter",
        "reports",
        (),
        "Reports of the load that another entry did not take.",
    ),
    "state_handovers": Metric(
        "counter",
        "handovers",
        ("outcome",),
        "Times that other entries were asked for what the store may lack.",
    ),
    "clients_closed": Metric(
        "counter",
        "connections",
        ("reason",),
        "Connections of callers closed to make room for others.",
    ),
    "requests_not_run": Metric(
        "counter", "requests", ("code",), "Refusals that say not run."
    ),
    "requests_outcome_unknown": Metric(
        "counter",
        "requests",
        ("code",),
        "Answers that say that the outcome is unknown.",
    ),
    "requests_cut": Metric(
        "counter",
        "requests",
        _REQUEST_LABELS,
        "Streams that ended before their last event.",
    ),
    "attempts_retried": Metric(
        "counter",
        "attempts",
        ("workspace",),
        "Attempts after the first of a request.",
    ),
    "retries_denied": Metric(
        "counter",
        "attempts",
        ("workspace",),
        "Retries that the retry budget did not allow.",
    ),
    "requests_open": Metric(
        "gauge", "requests", (), "Requests of callers that are open."
    ),
    "requests_queued": Metric(
        "gauge", "requests", (), "Requests that wait for a place."
    ),
    "first_token_s": Metric(
        "histogram",
        "s",
        _REQUEST_LABELS,
        "From the arrival of a request to the first byte of its answer.",
    ),
    "between_tokens_s": Metric(
        "histogram",
        "s",
        _REQUEST_LABELS,
        "Mean time between the chunks of a stream, one count per chunk.",
    ),
    "queue_wait_s": Metric(
        "histogram",
        "s",
        _REQUEST_LABELS,
        "From the arrival of a request to its place at a replica.",
    ),
    "groups_wanted": Metric(
        "gauge", "groups", ("service",), "Replicas that are configured."
    ),
    "groups_serving": Metric(
        "gauge",
        "groups",
        ("service",),
        "Whole groups of the domains that this entry owns.",
    ),
    "below_capacity_age_s": Metric(
        "gauge",
        "s",
        ("service",),
        "How long a group of the entry's domains has not been whole.",
    ),
    "vms_stranded": Metric(
        "gauge",
        "VMs",
        (),
        "Live VMs in service that serve in no working group.",
    ),
    "vm_stranded_age_max_s": Metric(
        "gauge", "s", (), "How long the oldest of them has been stranded."
    ),
    "vms_quarantined": Metric(
        "gauge", "VMs", (), "VMs in quarantine after a change of owner."
    ),
    "quarantine_age_max_s": Metric(
        "gauge", "s", (), "Age of the oldest quarantine."
    ),
    "ramp_stuck_age_max_s": Metric(
        "gauge",
        "s",
        (),
        "How long the slowest replica that serves has been cold.",
    ),
    "share_error": Metric(
        "gauge",
        "ratio",
        ("service", "workspace"),
        "Share of the entry's places received less the share due.",
    ),
    "log_lag_s": Metric(
        "gauge", "s", (), "Age of the last read that reached the log's head."
    ),
    "config_version": Metric(
        "gauge", "version", (), "Version of the configuration in force."
    ),
    "units_owned": Metric(
        "gauge", "units", (), "Domains and key partitions that it owns."
    ),
    "units_unowned": Metric(
        "gauge",
        "units",
        (),
        "Domains whose owner of record is not a live entry.",
    ),
    "entries_live": Metric(
        "gauge", "entries", (), "Entries that the membership list names."
    ),
    "keys_without_outcome": Metric(
        "gauge", "keys", (), "Intents of keyed calls that have no outcome."
    ),
    "key_without_outcome_age_max_s": Metric(
        "gauge", "s", (), "Age of the oldest of them."
    ),
    "log_reads_failed": Metric(
        "counter", "reads", (), "Reads that the log did not answer."
    ),
    "log_appends_failed": Metric(
        "counter", "appends", (), "Appends refused, or whose answer was lost."
    ),
    "orders_failed": Metric(
        "counter", "orders", (), "Orders refused, or whose answer was lost."
    ),
    "invariants_violated": Metric(
        "counter", "violations", ("invariant",), "Promises that did not hold."
    ),
    "series_dropped": Metric(
        "counter",
        "values",
        (),
        "Values of series past the bound on their number.",
    ),
    "config_age_s": Metric(
        "gauge",
        "s",
        (),
        "Age of the newest read of the configuration, on a hosted platform.",
    ),
    "servers_known": Metric(
        "gauge", "servers", (), "Backend servers in this entry's registry."
    ),
    "servers_unreached": Metric(
        "gauge",
        "servers",
        (),
        "Backend servers to which this entry cannot connect.",
    ),
    "calls_passed_on": Metric(
        "counter",
        "calls",
        (),
        "Calls passed on to another entry, as servers were not reached.",
    ),
    "servers_limited": Metric(
        "gauge",
        "servers",
        (),
        "Backend servers that say how many requests a second they take.",
    ),
    "tasks_failed": Metric(
        "counter",
        "failures",
        ("task",),
        "Tasks of the entry that ended with an error and were run again.",
    ),
    "server_ends": Metric(
        "counter",
        "servers",
        (),
        "Backend servers that ended while they held requests of this entry.",
    ),
    "parts_blocked": Metric(
        "gauge",
        "parts",
        (),
        "Requests and parts of prompts that are not sent, as servers ended on "
        "them.",
    ),
    "groups_open": Metric(
        "gauge", "groups", ("service",), "Groups that serve, by the registry."
    ),
    "store_calls": Metric(
        "counter", "calls", (), "Calls to the store of a hosted platform."
    ),
}

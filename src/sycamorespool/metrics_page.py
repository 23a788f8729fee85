"""Serves an entry's metrics as a page of text on a hosted platform."""

from collections import abc

from sycamorespool import asgi
from sycamorespool import backends
from sycamorespool import entry_context
from sycamorespool import histograms

PATH = "/metrics"


def render(context: entry_context.EntryContext) -> str:
    """Return the metrics as text, one ``name{labels} value`` a line."""
    metrics = context.metrics
    _update_gauges(context)
    lines = [
        f"{_series_name(series)} {value}"
        for series, value in sorted(metrics.counters.items())
    ]
    lines += [
        f"{_series_name(series)} {value:.6g}"
        for series, value in sorted(metrics.gauges.items())
    ]
    for series, windows in sorted(metrics.windows.items()):
        lines += _render_histogram(series, windows.since_start())
    return "\n".join([*lines, ""])


def _update_gauges(context: entry_context.EntryContext) -> None:
    """Set the gauges to their present values."""
    metrics = context.metrics
    metrics.set("requests_open", context.requests_open)
    metrics.set("servers_known", len(context.registry.servers))
    metrics.set("servers_limited", len(context.limits.limits))
    grown = context.platform_store.calls - metrics.counters[("store_calls",)]
    metrics.count("store_calls", times=grown)
    if context.table is None:
        return
    age_s = entry_context.boot_time_s() - context.config_read_s
    metrics.set("config_age_s", age_s)
    metrics.set("config_version", context.table.version)
    for name, service in context.table.services.items():
        if service.engine is not None:
            groups = context.registry.groups_of(name)
            known = context.registry.servers
            is_open = [
                group
                for group in groups
                if group.head
                and known[group.head].membership.state
                is backends.MemberState.OPEN
            ]
            metrics.set("groups_open", len(is_open), name)


def _series_name(series: tuple[str, ...], *more: str) -> str:
    name, *labels = series
    values = [*labels, *more]
    shown = ",".join(f'l{i}="{value}"' for i, value in enumerate(values))
    return f"{name}{{{shown}}}" if shown else name


def _render_histogram(
    series: tuple[str, ...], histogram: histograms.Histogram
) -> list[str]:
    lines = [
        f"{_series_name(series, quantile)} {histogram.quantile(fraction):.6g}"
        for quantile, fraction in histograms.QUANTILES.items()
    ]
    return [*lines, f"{_series_name(series, 'count')} {histogram.count}"]


def make_app(
    context: entry_context.EntryContext, apps: abc.Mapping[str, asgi.App]
) -> asgi.App:
    """Return the ASGI application that serves the page.

    Parameters
    ----------
    apps : mapping
        Further applications for operators, by path.
    """

    async def app(
        scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["path"] in apps:
            await apps[scope["path"]](scope, receive, send)
            return
        if scope["path"] != PATH:
            await asgi.send_response(send, asgi.Response(404))
            return
        body = render(context).encode()
        response = asgi.Response(200, body, "text/plain; charset=utf-8")
        await asgi.send_response(send, response)

    return app

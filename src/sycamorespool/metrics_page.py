"""The page of metrics that an entry serves as text."""

from sycamorespool import asgi
from sycamorespool import histograms
from sycamorespool import router as routers

PATH = "/metrics"


def render(router: routers.Router) -> str:
    """Return the metrics, one ``name{labels} value`` a line."""
    metrics = router.metrics
    lines = [
        f"{_name(series)} {value}"
        for series, value in sorted(metrics.counters.items())
    ]
    lines += [
        f"{_name(series)} {value:.6g}"
        for series, value in sorted(metrics.gauges.items())
    ]
    for series, windows in sorted(metrics.windows.items()):
        lines += _render_histogram(series, windows.since_start())
    return "\n".join([*lines, ""])


def _name(series: tuple[str, ...], *more: str) -> str:
    name, *labels = series
    values = [*labels, *more]
    shown = ",".join(f'l{i}="{value}"' for i, value in enumerate(values))
    return f"{name}{{{shown}}}" if shown else name


def _render_histogram(
    series: tuple[str, ...], histogram: histograms.Histogram
) -> list[str]:
    lines = [
        f"{_name(series, quantile)} {histogram.quantile(fraction):.6g}"
        for quantile, fraction in histograms.QUANTILES.items()
    ]
    return [*lines, f"{_name(series, 'count')} {histogram.count}"]


def make_app(router: routers.Router) -> asgi.App:
    """Return the application that serves the page."""

    async def app(
        scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["path"] != PATH:
            await asgi.send_response(send, asgi.Response(404))
            return
        body = render(router).encode()
        response = asgi.Response(200, body, "text/plain; charset=utf-8")
        await asgi.send_response(send, response)

    return app

"""Writes a results file of the benchmarks as an HTML page.

The page is self-contained: its plots are embedded PNG images.  A benchmark
without a plot is shown as a table of its numbers, so that nothing in the
file is left out.  Plots need the extra ``report`` (matplotlib).
"""

import base64
from collections import abc
import html
import io
import logging
import pathlib
import typing as t


from sycamorespool import decoding
from sycamorespool import exceptions

DPI = 110
PANEL_INCHES = (5.2, 3.4)
POLICY_PANELS = {
    "down_min_per_day": "Group downtime (replica minutes a day)",
    "stranded_h_per_day": "Stranded VMs (VM hours a day)",
    "drain_down_min": "A data centre leaves (replica minutes)",
    "return_down_min": "A data centre returns (replica minutes)",
}
RELAY_PANELS = {
    "tokens_per_cpu_s": "Tokens per CPU second",
    "added_p50_ms": "Added latency, p50 (ms)",
    "added_p95_ms": "Added latency, p95 (ms)",
    "added_p99_ms": "Added latency, p99 (ms)",
}
SHARE_PANELS = {
    "share_error": "Share received less share due (worst workspace)",
    "served_per_step": "Requests served a step",
}
STYLE = """
body { font: 15px/1.5 sans-serif; max-width: 72em; margin: 2em auto; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border-bottom: 1px solid #ccc; padding: .2em .8em; text-align: left }
td { font-variant-numeric: tabular-nums }
img { max-width: 100% }
"""

Results: t.TypeAlias = dict[str, t.Any]
Series: t.TypeAlias = dict[str, dict[str, float]]


def _import_figure() -> t.Any:
    logging.getLogger("matplotlib").setLevel(logging.WARNING)
    try:
        from matplotlib import figure
    except ImportError as error:
        raise exceptions.SettingsError(
            "command", "report", "needs matplotlib: the extra 'report'"
        ) from error
    return figure


def _make_panels(count: int) -> tuple[t.Any, list[t.Any]]:
    rows = (count + 1) // 2
    width, height = PANEL_INCHES
    figure = _import_figure().Figure(
        figsize=(2 * width, rows * height), layout="constrained"
    )
    axes = figure.subplots(rows, 2, squeeze=False).ravel()
    for spare in axes[count:]:
        spare.set_axis_off()
    return figure, list(axes[:count])


def _draw_bars(axis: t.Any, title: str, series: Series) -> None:
    """Draw a group of bars per category, with one bar per series."""
    categories = list(
        dict.fromkeys(p for bars in series.values() for p in bars)
    )
    width = 0.8 / max(1, len(series))
    for number, (name, bars) in enumerate(series.items()):
        offset = (number - (len(series) - 1) / 2) * width
        xs = [
            i + offset
            for i, category in enumerate(categories)
            if category in bars
        ]
        values = [
            bars[category] for category in categories if category in bars
        ]
        axis.bar(xs, values, width, label=name)
    axis.set_title(title, fontsize=10)
    axis.set_xticks(range(len(categories)), categories, fontsize=8)
    axis.tick_params(axis="y", labelsize=8)
    axis.set_ylim(bottom=0)
    axis.spines[["top", "right"]].set_visible(False)


def _draw_lines(axis: t.Any, title: str, series: Series) -> None:
    """Draw one line per series over a numeric axis."""
    for name, points in series.items():
        xs = sorted(points, key=float)
        axis.plot(
            [float(x) for x in xs], [points[x] for x in xs], "o-", label=name
        )
    axis.set_title(title, fontsize=10)
    axis.set_xlabel("streams", fontsize=8)
    if title.endswith("(ms)"):
        axis.set_yscale("log")
    else:
        axis.set_ylim(bottom=0)
    axis.tick_params(labelsize=8)
    axis.grid(axis="y", alpha=0.3)
    axis.spines[["top", "right"]].set_visible(False)


def _encode_png(figure: t.Any) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=DPI)
    return out.getvalue()


def _draw_panels(
    draw: abc.Callable[[t.Any, str, Series], None], panels: dict[str, Series]
) -> bytes:
    figure, axes = _make_panels(len(panels))
    for axis, (title, series) in zip(axes, panels.items(), strict=True):
        draw(axis, title, series)
    handles, labels = axes[0].get_legend_handles_labels()
    figure.legend(
        handles,
        labels,
        loc="outside lower center",
        ncols=max(1, len(labels)),
        fontsize=8,
        frameon=False,
    )
    return _encode_png(figure)


def draw_group_policy(results: Results) -> bytes:
    """Plot the group policy against its baselines, as PNG.

    Parameters
    ----------
    results : dict
        Numbers by ``DEPLOYMENT/RATE/POLICY``.
    """
    panels: dict[str, Series] = {title: {} for title in POLICY_PANELS.values()}
    for key, numbers in results.items():
        deployment, rate, policy = key.split("/", 2)
        for name, title in POLICY_PANELS.items():
            if name in numbers:
                bars = panels[title].setdefault(policy, {})
                bars[f"{deployment}\n{rate}"] = numbers[name]
    return _draw_panels(_draw_bars, panels)


def draw_relay(results: Results) -> bytes:
    """Plot the relay against a direct connection and a bare relay, as PNG.

    Parameters
    ----------
    results : dict
        Numbers by ``N streams``, then by variant of the relay.
    """
    panels: dict[str, Series] = {title: {} for title in RELAY_PANELS.values()}
    for load, variants in results.items():
        streams, _, unit = load.partition(" ")
        if unit != "streams":
            continue
        for variant, numbers in variants.items():
            for name, title in RELAY_PANELS.items():
                is_relay = variant != "direct"
                if is_relay and name in numbers:
                    points = panels[title].setdefault(variant, {})
                    points[streams] = numbers[name]
    return _draw_panels(_draw_lines, panels)


def draw_shares(results: Results) -> bytes:
    """Plot the error of the shares under each policy, as PNG.

    Parameters
    ----------
    results : dict
        Numbers by distribution of the callers, then by sharing policy.
    """
    panels: dict[str, Series] = {title: {} for title in SHARE_PANELS.values()}
    for distribution, variants in results.items():
        for variant, numbers in variants.items():
            for name, title in SHARE_PANELS.items():
                if name in numbers:
                    bars = panels[title].setdefault(variant, {})
                    bars[distribution] = numbers[name]
    return _draw_panels(_draw_bars, panels)


PLOTS: dict[str, abc.Callable[[Results], bytes]] = {
    "group_policy": draw_group_policy,
    "relay": draw_relay,
    "shares": draw_shares,
}


def _flatten(value: t.Any, path: str = "") -> abc.Iterator[tuple[str, str]]:
    """Yield the path and the text of every leaf value of the results."""
    if isinstance(value, dict) and value:
        for name, part in value.items():
            yield from _flatten(part, f"{path} / {name}" if path else name)
    elif isinstance(value, float):
        yield path, f"{value:.4g}"
    else:
        yield path, str(value)


def _format_rows(results: t.Any) -> str:
    rows = (
        f"<tr><td>{html.escape(path)}</td><td>{html.escape(text)}</td></tr>"
        for path, text in _flatten(results)
    )
    return f"<table>{''.join(rows)}</table>"


def _format_section(name: str, results: t.Any) -> str:
    table = _format_rows(results)
    title = f"<h2>{html.escape(name)}</h2>"
    plot = PLOTS.get(name)
    if plot is None:
        return title + table
    image = base64.b64encode(plot(results)).decode()
    return (
        f'{title}<p><img alt="plots of {name}" '
        f'src="data:image/png;base64,{image}"></p>'
        f"<details><summary>numbers</summary>{table}</details>"
    )


def make_page(results: Results) -> str:
    """Return the page for the results of some benchmarks.

    Raises
    ------
    SettingsError
        If matplotlib is missing and a benchmark has a plot.
    """
    sections = "".join(_format_section(n, r) for n, r in results.items())
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        "<title>sycamorespool: measurements</title>"
        f"<style>{STYLE}</style><h1>sycamorespool: measurements</h1>"
        f"{sections}</html>\n"
    )


def write(results_file: str, page_file: str) -> None:
    """Write the page for a results file.

    Raises
    ------
    SettingsError
        If a file cannot be read or written, or the results are malformed.
    """
    try:
        data = pathlib.Path(results_file).read_bytes()
        page = make_page(decoding.decode_json(data, dict[str, t.Any]))
        pathlib.Path(page_file).write_text(page, encoding="utf-8")
    except OSError as error:
        raise exceptions.SettingsError(
            "command", "report", str(error)
        ) from error
    except (exceptions.Undecodable, AttributeError, ValueError) as error:
        problem = f"{results_file} is not a results file: {error}"
        raise exceptions.SettingsError("command", "report", problem) from error

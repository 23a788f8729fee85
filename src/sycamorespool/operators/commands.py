"""Implements the operators' commands, apart from command-line parsing."""

from collections import abc
import dataclasses
import time
import typing as t
import urllib.parse

from sycamorespool import exceptions
from sycamorespool.operators import client
from sycamorespool.operators import tables

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_INVALID = 4
EXIT_UNKNOWN = 5
EXIT_NOT_EVERYWHERE = 6
EXIT_REFUSED = 7

EXIT_OF_STATUS = {
    "accepted": EXIT_OK,
    "conflict": EXIT_CONFLICT,
    "invalid": EXIT_INVALID,
    "unknown": EXIT_UNKNOWN,
    "refused": EXIT_REFUSED,
}
IN_FORCE_POLL_S = 0.25
IN_FORCE_WAIT_S = 10.0
# Statuses that are not final: another entry may still accept the patch or
# know its verdict.
UNDECIDED = frozenset({"unknown", "refused"})
WHOLENESS = {True: "whole", False: "not whole", None: "not known"}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Holds what a command prints and its exit code.

    Parameters
    ----------
    data : object
        Printed with ``--json``.
    text : str
        Printed otherwise.
    """

    data: t.Any
    text: str
    exit_code: int = EXIT_OK


def _list_behind(entries: dict[str, t.Any], version: int) -> list[str]:
    return [
        name
        for name, state in entries.items()
        if state is None or state.get("version", -1) < version
    ]


def _wait_until_in_force(
    operator: client.Client, version: int, wait_s: float
) -> dict[str, t.Any]:
    deadline_s = time.monotonic() + wait_s
    while True:
        entries = operator.get("/entries")
        missing = _list_behind(entries, version)
        if not missing or time.monotonic() > deadline_s:
            return {
                "in_force": len(entries) - len(missing),
                "entries": len(entries),
                "missing": missing,
            }
        time.sleep(IN_FORCE_POLL_S)


def _describe_rollout(rollout: dict[str, t.Any]) -> str:
    text = f"in force on {rollout['in_force']} of {rollout['entries']} entries"
    if rollout["missing"]:
        text += f"; missing: {', '.join(rollout['missing'])}"
    return text


def _describe_verdict(answer: dict[str, t.Any]) -> str:
    status = answer["status"]
    patch_id = answer.get("patch_id", "")
    if status == "accepted":
        return f"accepted: version {answer.get('version')}"
    if status == "unknown":
        return (
            f"unknown: whether patch {patch_id} took effect is not known "
            f"yet; look it up with: sycamorespool look-up {patch_id}"
        )
    return f"{status}: {answer.get('detail', '')}"


def submit_patch(
    operator: client.Client,
    base_version: int,
    patch: dict[str, t.Any],
    patch_id: str,
    author: str = "",
    wait_s: float = IN_FORCE_WAIT_S,
) -> Result:
    """Submit a patch and wait until it is in force on every entry.

    Parameters
    ----------
    patch_id : str
        Unique id; a patch that is sent several times under one id is
        applied once.
    wait_s : float
        Longest wait until every entry has applied the patch.
    """
    body = {
        "base_version": base_version,
        "patch": patch,
        "patch_id": patch_id,
        "author": author,
    }
    try:
        answer = operator.call(
            "POST", "/patch", body, lambda a: a["status"] not in UNDECIDED
        )
    except exceptions.OperatorAnswerLost:
        answer = {"status": "unknown", "patch_id": patch_id}
    text = _describe_verdict(answer)
    code = EXIT_OF_STATUS.get(answer["status"], EXIT_FAILED)
    if answer["status"] == "accepted":
        rollout = _wait_until_in_force(operator, answer["version"], wait_s)
        answer = {**answer, **rollout}
        text = f"{text}\n{_describe_rollout(rollout)}"
        code = EXIT_NOT_EVERYWHERE if rollout["missing"] else EXIT_OK
    return Result(answer, text, code)


def look_up_patch(operator: client.Client, patch_id: str) -> Result:
    """Look up the verdict on a patch whose answer was lost."""
    quoted = urllib.parse.quote(patch_id, safe="")
    answer = operator.call(
        "GET",
        f"/patch?patch_id={quoted}",
        is_final=lambda a: a["status"] not in UNDECIDED,
    )
    code = EXIT_OF_STATUS.get(answer["status"], EXIT_FAILED)
    return Result(answer, _describe_verdict(answer), code)


def set_in_service(
    operator: client.Client,
    name: str,
    is_in_service: bool,
    patch_id: str,
    wait_s: float = IN_FORCE_WAIT_S,
) -> Result:
    """Take a data centre or a VM out of service, or bring it back.

    Raises
    ------
    ConfigurationError
        If no data centre or VM has this name.
    """
    current = operator.get("/configuration")
    section = "data_centres"
    if name not in operator.get("/data_centres"):
        section = "vms"
        if explain(operator, name).data["kind"] != "vm":
            raise exceptions.ConfigurationError(
                f"no data centre or VM is named {name!r}"
            )
    patch = {section: {name: {"in_service": is_in_service}}}
    return submit_patch(
        operator, current["version"], patch, patch_id, wait_s=wait_s
    )


def show_configuration(operator: client.Client) -> Result:
    """Show the version and the document of the configuration in force."""
    current = operator.get("/configuration")
    return Result(current, f"version {current['version']} (see --json)")


def _format_entry(name: str, state: dict[str, t.Any] | None) -> list[object]:
    if state is None:
        return [name, "-", "no answer", "-", "-", "-", "-"]
    return [
        name,
        state["data_centre"],
        "ready" if state["is_ready"] else "not ready",
        state["version"],
        state["offset"],
        state["requests_open"],
        state["units_owned"],
    ]


def show_status(operator: client.Client) -> Result:
    """Show every entry; the exit code tells whether any is behind."""
    entries = operator.get("/entries")
    column_titles = ["ENTRY", "DATA CENTRE", "STATE", "VERSION", "OFFSET"]
    column_titles += ["OPEN", "UNITS"]
    rows = [_format_entry(name, state) for name, state in entries.items()]
    newest = max((s["version"] for s in entries.values() if s), default=0)
    behind = _list_behind(entries, newest)
    rollout = {
        "in_force": len(entries) - len(behind),
        "entries": len(entries),
        "missing": behind,
    }
    text = tables.format_table(column_titles, rows)
    text = f"{text}\nversion {newest}: {_describe_rollout(rollout)}"
    code = EXIT_NOT_EVERYWHERE if behind else EXIT_OK
    return Result({"version": newest, "states": entries}, text, code)


def _format_ms(value_s: float | None) -> str:
    return "over" if value_s is None else f"{value_s * 1000:.1f}"


def show_metrics(operator: client.Client) -> Result:
    """Show the metrics of the entry that answers first."""
    status = operator.get("/status")
    found = status.get("metrics", {})
    rows = [
        [
            name.replace("_s.", ".", 1),
            shown["recent"]["count"],
            *(
                _format_ms(shown["recent"][key])
                for key in ("mean_s", "p50_s", "p95_s", "p99_s")
            ),
        ]
        for name, shown in sorted(found.get("histograms", {}).items())
    ]
    column_titles = ["RECENT, IN MS", "COUNT", "MEAN", "P50", "P95", "P99"]
    values = found.get("gauges", {}) | found.get("counters", {})
    value_rows = [[name, f"{values[name]:.10g}"] for name in sorted(values)]
    text = "\n\n".join(
        [
            f"entry {status.get('entry')}",
            tables.format_table(column_titles, rows),
            tables.format_table(["VALUE", "NOW"], value_rows),
        ]
    )
    return Result(found, text)


def _count_whole(groups: abc.Iterable[dict[str, t.Any]]) -> list[str]:
    counts: dict[str, list[int]] = {}
    for group in groups:
        count = counts.setdefault(group["service"], [0, 0])
        count[0] += group["is_whole"] is True
        count[1] += 1
    return [
        f"{service}: {whole} of {total} groups whole"
        for service, (whole, total) in sorted(counts.items())
    ]


def list_groups(operator: client.Client, service: str = "") -> Result:
    """List the groups and tell which are whole."""
    groups = [
        group
        for group in operator.get("/groups?fleet=1")
        if service in ("", group["service"])
    ]
    groups.sort(key=lambda group: (group["service"], group["group"]))
    rows = [
        [
            group["group"],
            group["unit"],
            WHOLENESS[group["is_whole"]],
            " ".join(group["members"]),
        ]
        for group in groups
    ]
    table = tables.format_table(["GROUP", "UNIT", "STATE", "MEMBERS"], rows)
    text = "\n".join([table, *_count_whole(groups)])
    return Result(groups, text)


def explain(operator: client.Client, name: str) -> Result:
    """Explain the state of a VM, group, unit, record or request."""
    quoted = urllib.parse.quote(name, safe="")
    found = operator.call(
        "GET",
        f"/explain?name={quoted}",
        is_final=lambda a: a["state"] not in ("unknown", "elsewhere"),
    )
    lines = [f"{found['kind']} {found['name']}: {found['state']}"]
    lines += [f"  - {reason}" for reason in found["reasons"]]
    code = EXIT_UNKNOWN if found["kind"] == "unknown" else EXIT_OK
    return Result(found, "\n".join(lines), code)


def list_keys(operator: client.Client) -> Result:
    """List the keyed calls whose outcome is not known."""
    found = operator.get("/keys")
    rows = [
        [
            key["workspace"],
            key["key"],
            key["entry"],
            key["attempt_id"],
            f"{key['age_s']:.0f}",
        ]
        for key in found["keys"]
    ]
    column_titles = ["WORKSPACE", "KEY", "ENTRY", "ATTEMPT", "AGE_S"]
    text = tables.format_table(column_titles, rows)
    if found["silent"]:
        text += f"\nnot asked: {', '.join(found['silent'])}"
    return Result(found, text)


def resolve_key(
    operator: client.Client,
    workspace: str,
    key: str,
    attempt_id: str,
    resolution: str,
    author: str = "",
) -> Result:
    """Record whether a call whose outcome is not known was run."""
    body = {
        "workspace": workspace,
        "key": key,
        "attempt_id": attempt_id,
        "resolution": resolution,
        "operator": author,
    }
    answer = operator.call("POST", "/keys/settle", body)
    status = answer.get("status", "unknown")
    text = f"{status}: {workspace} {key} {resolution}"
    if answer.get("detail"):
        text += f"; {answer['detail']}"
    return Result(answer, text, EXIT_OF_STATUS.get(status, EXIT_FAILED))

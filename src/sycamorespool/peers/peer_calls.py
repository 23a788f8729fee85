"""Passes calls on to other entries, and serves calls that others pass on.

An entry that reaches too few of the servers for a call lets another entry
serve it.  To the attempts of the call, that entry is one more server: it gets
the request with the time that is left, the API key and the last event that the
caller has, and its answer is relayed.  It decides anew on workspace, priority
and server, never passes the call on itself, and says when it has not run it.
"""

from collections import abc

import trio

from sycamorespool import asgi
from sycamorespool import backends
from sycamorespool.decisions.placing import candidates
from sycamorespool.decisions.placing import peer_choice
from sycamorespool.decisions.placing import reachability
from sycamorespool import entry_context
from sycamorespool.platform import headers
from sycamorespool.requests import call_attempts
from sycamorespool.requests import calls

# Begins the id that an entry has among the servers of a call.
ID_PREFIX = "entry/"
# Part of the servers for a call that an entry has to reach: if it reaches
# fewer and these take no more, the call is passed on.
LEAST_REACHED = 0.5
# Calls of other entries that an entry serves at the same time.
MAX_OPEN = 256


def is_peer(backend: backends.Backend) -> bool:
    """Tell whether a target of an attempt is another entry."""
    return backend.backend_id.startswith(ID_PREFIX)


def find_server(
    context: entry_context.EntryContext,
    backend: backends.Backend,
    answer_headers: abc.Mapping[str, str],
) -> backends.Backend | None:
    """Return the server that gave an answer, None if it is not known.

    Another entry names the server that answered a call passed on.
    """
    if not is_peer(backend):
        return backend
    named = headers.decode_served_by(answer_headers)
    if named is None:
        return None
    backend_id, started_ms = named
    found = context.registry.servers.get(backend_id)
    is_same = found is not None and found.started_ms == started_ms
    return found if is_same else None


def find_peer(
    context: entry_context.EntryContext,
    call: calls.Call,
    tries: call_attempts.Tries,
) -> backends.Backend | None:
    """Return the entry to which to pass a call on, None to keep it.

    It is kept if this entry reaches enough servers for it, or if another
    entry passed it on.
    """
    if call.passed_on is not None or not lacks_servers(context, call, tries):
        return None
    now_s = trio.current_time()
    blocked = context.placement_state.blocked_until_s
    entries = context.entry_directory.entries
    unusable = tries.list_unusable()
    excluded = {
        name
        for name in entries
        if ID_PREFIX + name in unusable
        or blocked.get(ID_PREFIX + name, now_s) > now_s
    }
    regions = context.placement_state.regions
    own_region = regions.get(context.settings.entry.data_centre, "")
    name = peer_choice.choose(
        entries,
        regions,
        peer_choice.PeerRequest(
            context.name,
            own_region,
            call.make_placement_request(frozenset()).allowed_regions,
            excluded,
        ),
        context.random.random(),
    )
    if name is None:
        return None
    found = entries[name]
    return backends.Backend(
        ID_PREFIX + name,
        call.service,
        found.address,
        found.data_centre,
        slots=1,
        is_draining=False,
    )


def lacks_servers(
    context: entry_context.EntryContext,
    call: calls.Call,
    tries: call_attempts.Tries,
) -> bool:
    """Tell whether this entry reaches too few of the servers for a call.

    Those at which the call has failed already do not count.
    """
    eligible = candidates.list_eligible(
        context.placement_state,
        call.make_placement_request(tries.excluded),
        trio.current_time(),
    )
    reached = sum(
        reachability.is_reached(context.reach, backend.backend_id)
        for backend in eligible
    )
    return bool(eligible) and reached < LEAST_REACHED * len(eligible)


def make_app(
    calls_app: asgi.App, apps: abc.Mapping[str, asgi.App]
) -> asgi.App:
    """Return the application for other entries.

    Parameters
    ----------
    calls_app : App
        Serves the calls that they pass on.
    apps : mapping
        Serves their other requests, by path.
    """

    async def app(
        scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["type"] == "lifespan":
            await asgi.handle_lifespan(receive, send)
        elif headers.is_passed_on(scope["headers"]):
            await calls_app(scope, receive, send)
        elif scope["path"] in apps:
            await apps[scope["path"]](scope, receive, send)
        else:
            await asgi.send_response(send, asgi.Response(404))

    return app

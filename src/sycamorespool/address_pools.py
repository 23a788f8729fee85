"""Keeps the HTTP connections to each address in a pool of their own.

A connection pool checks all its connections before and after each request,
and counts them anew for each idle one.  An entry that asks many servers for
reports would spend more time on that than on the requests::

    pools = AddressPools()
    pool = await pools.find("10.0.0.7:8000", now_s)
"""

import httpcore

from sycamorespool import http_client

# Pools that were not used for this long are closed, as servers that are gone
# leave theirs behind.
UNUSED_KEEP_S = 30.0


class AddressPools:
    """Holds a connection pool for each address that was used lately."""

    def __init__(self) -> None:
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}
        # Addresses by the time of their last use, the oldest first.
        self._used_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._pools)

    async def find(
        self, address: str, now_s: float
    ) -> httpcore.AsyncConnectionPool:
        """Return the pool of an address; close pools that are unused."""
        self._used_s.pop(address, None)
        self._used_s[address] = now_s
        found = self._pools.get(address)
        if found is None:
            found = self._pools[address] = http_client.make_pool()
        await self._close_unused(now_s)
        return found

    async def _close_unused(self, now_s: float) -> None:
        while self._used_s:
            oldest = next(iter(self._used_s))
            if now_s - self._used_s[oldest] <= UNUSED_KEEP_S:
                return
            del self._used_s[oldest]
            await self._pools.pop(oldest).aclose()

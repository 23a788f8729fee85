"""Reads the platform's membership list, which may be out of date."""

import msgspec

from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import models


class _Listing(msgspec.Struct):
    vms: list[models.Vm]


class MembershipClient:
    """Fetches the membership list and decodes it only when it has changed.

    Parameters
    ----------
    pool : http_client.Pool
        Connections to use.
    address : str
        ``IP:port`` of the platform.
    """

    def __init__(self, pool: http_client.Pool, address: str) -> None:
        self._pool = pool
        self._url = f"http://{address}/membership"
        self._body: bytes | None = None
        self._vms: dict[str, models.Vm] = {}

    async def fetch_vms(self) -> dict[str, models.Vm]:
        """Return the platform's list of VMs by name.

        Raises
        ------
        PlatformUnavailable
            If the platform does not answer with a valid list.
        """
        try:
            answer = await http_client.exchange(self._pool, "GET", self._url)
            if answer.body != self._body:
                self._update(answer.body)
        except (
            http_client.NotReached,
            http_client.ExchangeFailed,
            exceptions.Undecodable,
        ) as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        return self._vms

    def _update(self, body: bytes) -> None:
        listing = decoding.decode_json(body, _Listing)
        self._vms = {vm.vm: vm for vm in listing.vms}
        self._body = body

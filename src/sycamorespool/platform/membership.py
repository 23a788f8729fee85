"""Client of the platform's membership list, which may lag."""

import httpcore
import msgspec

from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import models


class _Listing(msgspec.Struct):
    vms: list[models.Vm]


async def fetch_vms(
    pool: httpcore.AsyncConnectionPool, address: str
) -> dict[str, models.Vm]:
    """Return the platform's list of VMs by name.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer with a list.
    """
    try:
        answer = await http_client.exchange(
            pool, "GET", f"http://{address}/membership"
        )
        listing = msgspec.json.decode(answer.body, type=_Listing)
    except (
        http_client.NotReached,
        http_client.ExchangeFailed,
        msgspec.DecodeError,
    ) as error:
        raise exceptions.PlatformUnavailable(str(error)) from error
    return {vm.vm: vm for vm in listing.vms}

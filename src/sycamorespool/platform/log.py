"""Calls the platform's log service, which holds streams of records."""

import collections.abc

import msgspec

from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import records

APPEND_TIMEOUT_S = 2.0
READ_SLACK_S = 2.0


class LogPage(msgspec.Struct, frozen=True):
    """Holds records read from one stream.

    Parameters
    ----------
    first : int
        Oldest offset that the log still keeps.
    head : int
        Offset that the next record will get.
    entries : tuple of LogEntry
        Records in offset order.
    """

    first: int
    head: int
    entries: tuple[records.LogEntry, ...] = ()


class _Appended(msgspec.Struct):
    offsets: list[int]


class LogClient:
    """Appends to and reads from the platform's log.

    Parameters
    ----------
    pool : http_client.Pool
        Connections to use.
    address : str
        ``IP:port`` of the log service.
    """

    def __init__(self, pool: http_client.Pool, address: str) -> None:
        self._pool = pool
        self._base = f"http://{address}/log"

    async def append(
        self, stream: str, batch: collections.abc.Sequence[records.Record]
    ) -> list[int]:
        """Append records in order and return their offsets.

        Raises
        ------
        PlatformUnavailable
            If the log did not accept the records.
        OutcomeLost
            If they may have been appended; look them up by record id.
        """
        try:
            answer = await http_client.exchange(
                self._pool,
                "POST",
                f"{self._base}/{stream}",
                msgspec.json.encode(list(batch)),
                APPEND_TIMEOUT_S,
            )
        except http_client.NotReached as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        except http_client.ExchangeFailed as error:
            raise exceptions.OutcomeLost(str(error)) from error
        if answer.status == 503:
            raise exceptions.PlatformUnavailable("log refused the append")
        if answer.status != 200:
            raise exceptions.OutcomeLost(
                f"log append answered {answer.status}"
            )
        try:
            return decoding.decode_json(answer.body, _Appended).offsets
        except exceptions.Undecodable as error:
            raise exceptions.OutcomeLost(str(error)) from error

    async def read(
        self, stream: str, start: int, wait_s: float = 0.0, limit: int = 1000
    ) -> LogPage:
        """Read records from ``start`` on; wait up to ``wait_s`` for one.

        Raises
        ------
        RecordsExpired
            If the log no longer keeps the record at ``start``.
        PlatformUnavailable
            If the log did not answer.
        """
        url = (
            f"{self._base}/{stream}?start={start}&wait_s={wait_s}"
            f"&limit={limit}"
        )
        try:
            answer = await http_client.exchange(
                self._pool, "GET", url, timeout_s=wait_s + READ_SLACK_S
            )
        except (http_client.NotReached, http_client.ExchangeFailed) as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        if answer.status != 200:
            raise exceptions.PlatformUnavailable(
                f"log read answered {answer.status}"
            )
        try:
            page = decoding.decode_json(answer.body, LogPage)
        except exceptions.Undecodable as error:
            raise exceptions.PlatformUnavailable(str(error)) from error
        if start < page.first:
            raise exceptions.RecordsExpired(page.first)
        return page

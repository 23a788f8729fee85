"""Calls the operators' API, trying several entries in turn."""

from collections import abc
import os
import pathlib
import typing as t

import httpcore
import msgspec

from sycamorespool import decoding
from sycamorespool import exceptions
from sycamorespool import http_client
from sycamorespool import settings

KEY_VARIABLE = "SYCAMORESPOOL_OPERATOR_KEY"
ADDRESS_VARIABLE = "SYCAMORESPOOL_ADDRESS"
CALL_TIMEOUT_S = 10.0
# Statuses of refusals that every entry would repeat.
NO_RETRY = frozenset({400, 401, 403, 404})


def read_key(key_file: str = "") -> str:
    """Return the operators' key from a file or from the environment.

    Raises
    ------
    SettingsError
        If there is no key.
    """
    if not key_file:
        key = os.environ.get(KEY_VARIABLE, "")
    else:
        try:
            key = pathlib.Path(key_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            problem = f"cannot be read: {error}"
            raise exceptions.SettingsError(
                "command", "--key-file", problem
            ) from error
    if not key:
        raise exceptions.SettingsError(
            "command", "key", f"wanted --key-file FILE or {KEY_VARIABLE}"
        )
    return key


def read_addresses(option: str) -> tuple[str, ...]:
    """Return the entries' addresses from an option or the environment.

    Raises
    ------
    SettingsError
        If there is no address, or one is not an ``IP:port``.
    """
    parts = (option or os.environ.get(ADDRESS_VARIABLE, "")).split(",")
    addresses = tuple(part.strip() for part in parts if part)
    for address in addresses:
        if not settings.is_address(address):
            problem = f"{address!r} is not an IP number and port"
            raise exceptions.SettingsError("command", "--address", problem)
    if not addresses:
        raise exceptions.SettingsError(
            "command",
            "--address",
            f"wanted IP:port[,IP:port...] or {ADDRESS_VARIABLE}",
        )
    return addresses


def _is_final(answer: t.Any) -> bool:
    return True


class Client:
    """Calls the operators' API of the first entry that gives an answer.

    Parameters
    ----------
    addresses : sequence of str
        ``IP:port`` of the entries, in the order in which to try them.
    key : str
        The operators' key.
    timeout_s : float
        Longest wait for each step of a call: connecting, reading and
        writing.
    """

    def __init__(
        self,
        addresses: abc.Sequence[str],
        key: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._addresses = addresses
        self._headers = {
            "x-operator-key": key,
            "content-type": "application/json",
        }
        self._timeouts = dict.fromkeys(
            ("connect", "read", "write", "pool"), timeout_s
        )

    def _call_one(
        self, address: str, method: str, path: str, body: bytes
    ) -> t.Any:
        try:
            response = httpcore.request(
                method,
                f"http://{address}{path}",
                headers=self._headers,
                content=body,
                extensions={"timeout": self._timeouts},
            )
        except http_client.CONNECT_ERRORS as error:
            raise exceptions.OperatorUnreached(
                f"{address} does not answer: {error or type(error).__name__}"
            ) from error
        except http_client.EXCHANGE_ERRORS as error:
            raise exceptions.OperatorAnswerLost(
                f"the answer of {address} was lost: "
                f"{error or type(error).__name__}"
            ) from error
        if response.status != 200:
            detail = response.content.decode(errors="replace")
            raise exceptions.OperatorRefused(response.status, detail)
        try:
            return decoding.decode(msgspec.json.decode, response.content)
        except exceptions.Undecodable as error:
            raise exceptions.OperatorAnswerLost(
                f"the answer of {address} is not JSON: {error}"
            ) from error

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        is_final: abc.Callable[[t.Any], bool] = _is_final,
    ) -> t.Any:
        """Call the entries in turn until one gives a final answer.

        The call has to be idempotent, as reads are; its id makes a patch so.

        Parameters
        ----------
        is_final : callable
            Tells whether to accept an answer or to try the next entry.

        Returns
        -------
        object
            The decoded final answer, or the last one if none is final.

        Raises
        ------
        OperatorUnreached
            If no entry could be reached.
        OperatorAnswerLost
            If an entry may have run the call, but its answer was lost.
        OperatorRefused
            If an entry refused the call.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        answers: list[t.Any] = []
        errors: list[exceptions.OperatorError] = []
        for address in self._addresses:
            try:
                answer = self._call_one(address, method, path, data)
            except exceptions.OperatorRefused as error:
                if error.status in NO_RETRY:
                    raise
                errors.append(error)
                continue
            except exceptions.OperatorError as error:
                errors.append(error)
                continue
            if is_final(answer):
                return answer
            answers.append(answer)
        if answers:
            return answers[-1]
        answer_lost = exceptions.OperatorAnswerLost
        raise next(
            (e for e in errors if isinstance(e, answer_lost)), errors[-1]
        )

    def get(self, path: str) -> t.Any:
        """Read a path; it raises the same errors as :meth:`call`."""
        return self.call("GET", path)

"""Makes the ASGI messages of the stand-in backend servers' answers."""

import typing as t

from sycamorespool import asgi


def make_start(content_type: str, headers: dict[str, str]) -> dict[str, t.Any]:
    """Return the message that starts a successful answer."""
    return {
        "type": "http.response.start",
        "status": 200,
        "headers": asgi.encode_headers(content_type, headers),
    }


def make_body(data: bytes, is_more: bool = True) -> dict[str, t.Any]:
    """Return a message with a part of the body."""
    return {"type": "http.response.body", "body": data, "more_body": is_more}


def add_header(send: asgi.Send, name: str, value: str) -> asgi.Send:
    """Return a function that sends messages with one more header."""

    async def send_message(message: dict[str, t.Any]) -> None:
        if message["type"] == "http.response.start":
            pair = (name.encode(), value.encode())
            message = {**message, "headers": [*message["headers"], pair]}
        await send(message)

    return send_message

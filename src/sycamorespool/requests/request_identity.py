"""Names a request by a digest, so that its repetitions can be recognised.

A request is repeated if its path with the query, its caller and its body are
the same; its headers and the entry that gets it may differ.  The digest is
keyed with the caller's API key, so that neither logs nor the store show what
a request held, and nobody without the key can test a guess::

    identify(request)  # 'request:9f86d081884c7d65'
"""

import hmac

from sycamorespool.decisions.faults import end_causes
from sycamorespool.requests import caller_request

DIGEST_BYTES = 8


def identify(request: caller_request.CallerRequest) -> str:
    """Return the identity of a request whose body was read."""
    target = request.target.encode()
    message = len(target).to_bytes(4, "big") + target + request.body
    digest = hmac.digest(request.key.encode(), message, "sha256")
    return end_causes.IDENTITY_PREFIX + digest[:DIGEST_BYTES].hex()

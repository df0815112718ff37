"""Authentication of operators by bearer token."""

import hashlib
import hmac
from collections.abc import Sequence
from typing import Final

from starlette.requests import Request

from tamarackway_entry.settings import Operator

_SCHEME: Final = 'Bearer '


def find_operator(
    request: Request,
    operators: Sequence[Operator],
) -> str | None:
    """Return the name of the operator that sent a request, or None.

    :param request: the request.
    :param operators: operators with the SHA-256 of their tokens.

    All hashes are compared, each in constant time, so that the response time
    reveals nothing about the tokens.
    """
    header = request.headers.get('authorization', '')
    token = header.removeprefix(_SCHEME)
    digest = hashlib.sha256(token.encode()).hexdigest()
    names = [
        operator.name
        for operator in operators
        if hmac.compare_digest(digest, operator.token_sha256)
    ]
    if not header.startswith(_SCHEME) or not names:
        return None
    return names[0]


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token as stored in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()

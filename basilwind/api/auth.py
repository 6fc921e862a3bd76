"""Bearer tokens of teams."""

import hashlib
import hmac

from basilwind.errors import AuthenticationError


def bearer_token(headers):
    """Returns the bearer token of a request.

    Args:
        headers: Headers by lower-case name.

    Raises:
        AuthenticationError: The request has no bearer token.
    """
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise AuthenticationError("send an 'Authorization: Bearer TOKEN' header")
    return token.strip()


def hash_token(token):
    """Returns the SHA-256 hash of a token, as stored in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()


def check_token(token, hashes, token_owner):
    """Checks a token against the hashes of valid tokens.

    Every hash is compared, in constant time, to prevent timing attacks.

    Args:
        token: Token that the caller sent.
        hashes: Hashes of the valid tokens.
        token_owner: Whom the tokens belong to, for the error message.

    Raises:
        AuthenticationError: The token matches none of the hashes.
    """
    presented = hash_token(token)
    matches = [hmac.compare_digest(presented, known) for known in hashes]
    if not any(matches):
        raise AuthenticationError(f"the token is not valid for {token_owner}")

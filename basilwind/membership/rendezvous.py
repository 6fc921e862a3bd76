"""Rendezvous hashing."""

import hashlib


def choose_by_hash(key, names):
    """Returns the name of the greatest weight for a key, or None."""
    return max(names, key=lambda name: _weight(key, name), default=None)


def _weight(key, name):
    text = f"{key}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

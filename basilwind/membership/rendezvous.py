"""Rendezvous (highest random weight) hashing."""

import hashlib


def choose_by_hash(key, names):
    """Returns the name with the highest weight for a key, or None.

    Every process that knows the same names makes the same choice. When a name is
    removed, only the keys that it was chosen for move to another name.
    """
    return max(names, key=lambda name: _weight(key, name), default=None)


def _weight(key, name):
    text = f"{key}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

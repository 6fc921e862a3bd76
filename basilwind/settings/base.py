"""Base class of the generated settings models."""

import msgspec


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    """Base of settings models; rejects unknown fields."""

"""Base class of the generated settings models."""

import msgspec


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True):
    """A settings model that rejects unknown fields."""

"""Decodes JSON that other processes wrote into checked values.

Everything that comes from outside passes here: records of the store, settings files,
answers of workers, peers and the platform, and callers' requests. The result is either
a value that no later code can fail on, or one error of the class that the caller
handles. Decoded text is valid UTF-8 and decoded numbers are finite; the types below
bound them further.
"""

import ipaddress
from typing import Annotated

import msgspec

MAX_INTEGER = 2**53 - 1  # larger ones are not exact in every reader of JSON
MAX_SIZE = 10**12  # of one task or worker; the sum over all tasks fits into 64 bits
MAX_NUMBER = 1e15
MAX_NAME_LENGTH = 200  # topics and keys of the store are limited to 255 bytes
MAX_ERROR_LENGTH = 300
MAX_PORT = 65535

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Size = Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
# A name that is part of a path, a topic or a header.
Name = Annotated[str, msgspec.Meta(pattern=rf"^[!-.0-~]{{1,{MAX_NAME_LENGTH}}}\Z")]
OptionalName = Annotated[
    str, msgspec.Meta(pattern=rf"^[!-.0-~]{{0,{MAX_NAME_LENGTH}}}\Z")
]


def decode_json(data, kind, what, error):
    """Decodes JSON that another process wrote.

    Args:
        data: The JSON text, bytes.
        kind: Type to decode to.
        what: What the data belongs to, for error messages.
        error: Exception class that tells the caller what malformed data means.

    Raises:
        BasilwindError: The data does not parse or is out of range; an instance of
            ``error`` with a message of limited length.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (ValueError, OverflowError, RecursionError) as cause:
        message = f"{what}: malformed: {cause}"
        raise error(message[:MAX_ERROR_LENGTH]) from cause


def check_name(text, what, error):
    """Raises ``error`` unless a text can be part of a path, a topic or a header."""
    try:
        msgspec.convert(text, Name)
    except msgspec.ValidationError as cause:
        raise error(f"{what}: {text[:MAX_NAME_LENGTH]!r} is not a name") from cause


def check_address(address, what, error):
    """Raises ``error`` unless an address is an IPv4 address and a port.

    Args:
        address: HOST:PORT.
        what: What the address belongs to, for error messages.
        error: Exception class to raise.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise error(f"{what}: address {address[:MAX_NAME_LENGTH]!r} is not IP:PORT")

"""Exceptions raised by basilwind."""


class BasilwindError(Exception):
    """Base class of all errors of this package."""


class SettingsError(BasilwindError):
    """A settings file or record is not valid.

    Args:
        message: What is wrong and what to do about it.
        path: Where in the document, as a dotted path.
        file: Name of the file, if it came from one.
        line: Line number in the file, from 1; 0 if unknown.
    """

    def __init__(self, message: str, path: str = "", file: str = "", line: int = 0):
        super().__init__(message)
        self.message = message
        self.path = path
        self.file = file
        self.line = line

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        parts = [part for part in (place, self.path, self.message) if part]
        return ": ".join(parts)


class PlatformError(BasilwindError):
    """The platform's service could not be used."""


class PlatformUnavailable(PlatformError):
    """The platform's service did not answer, or answered with an error."""


class RetentionGap(PlatformError):
    """The log no longer holds the records that were asked for.

    Args:
        first_offset: Oldest offset that the log still holds.
    """

    def __init__(self, first_offset: int):
        super().__init__(f"log records before offset {first_offset} have been dropped")
        self.first_offset = first_offset


class RecordInvalid(BasilwindError):
    """A record on the log does not parse or breaks a rule."""


class PeerError(BasilwindError):
    """A peer could not be reached or broke the protocol."""


class PeerUnreachable(PeerError):
    """No live connection to the peer."""


class ProtocolError(PeerError):
    """A peer sent something that is not a valid message."""


class LeaseLost(BasilwindError):
    """This daemon's ownership of a shard has ended."""


class JournalUnavailable(BasilwindError):
    """An entry could not be made durable in time.

    Args:
        message: What happened.
        is_certain: Whether the entry is certain never to take effect.
    """

    def __init__(self, message: str, is_certain: bool):
        super().__init__(message)
        self.is_certain = is_certain


class EntryFenced(BasilwindError):
    """A journal entry was void: a later claim or an earlier entry wins."""


class RequestInvalid(BasilwindError):
    """A caller's request is malformed; the message says what to change."""


class AuthenticationError(BasilwindError):
    """The caller's token is missing or not valid for the team."""


class WorkerUnreachable(BasilwindError):
    """A worker did not answer a query."""


class NotStarted(BasilwindError):
    """A request must not be started here any more."""


class DaemonUnreachable(BasilwindError):
    """A daemon did not answer its client."""


class CallRefused(BasilwindError):
    """A call did not reach its receiver; nothing was done."""


class CallUnanswered(BasilwindError):
    """A call got no answer; it may take effect, even later."""


class StoreRefused(PlatformError):
    """The platform's store turned a call away; nothing was done."""


class StoreUnanswered(PlatformError):
    """The platform's store did not answer; the call may take effect."""


class StoreConflict(PlatformError):
    """A conditional append found the partition at another offset.

    Args:
        end: Offset that the next record will get.
    """

    def __init__(self, end):
        super().__init__(f"the partition ends at offset {end}")
        self.end = end


class ProducerFenced(PlatformError):
    """A later owner has raised the epoch of this producer."""


class WorkerCallFailed(BasilwindError):
    """A worker did not carry out a call and said so."""


class WorkerReplaced(WorkerCallFailed):
    """Another incarnation answers at the worker's address."""


class NotOwner(BasilwindError):
    """This daemon does not own the pool (any more)."""

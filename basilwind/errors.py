"""Exceptions that basilwind raises."""


class BasilwindError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(BasilwindError):
    """Settings from a file or a control record are invalid.

    Args:
        message: What is wrong and how to correct it.
        path: Place in the document, as a dotted path.
        file: Name of the settings file; empty if there is none.
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
    """Base class of errors in using the platform's services."""


class PlatformUnavailable(PlatformError):
    """A service of the platform did not answer, or answered with an error."""


class RetentionGap(PlatformError):
    """The log has already dropped the records that were requested.

    Args:
        first_offset: Oldest offset that the log still holds.
    """

    def __init__(self, first_offset: int):
        super().__init__(f"log records before offset {first_offset} have been dropped")
        self.first_offset = first_offset


class RecordInvalid(BasilwindError):
    """A record does not parse, or it breaks a rule of the state that it changes."""


class PeerError(BasilwindError):
    """Base class of errors in communicating with a peer."""


class PeerUnreachable(PeerError):
    """A peer could not be reached, or it did not confirm a message."""


class ProtocolError(PeerError):
    """A peer sent data that is not a valid message."""


class LeaseLost(BasilwindError):
    """This daemon's lease of a shard has ended, or may have."""


class JournalUnavailable(BasilwindError):
    """A journal entry could not be made durable in time.

    Args:
        message: What happened.
        is_certain: Whether it is certain that the entry will never take effect.
    """

    def __init__(self, message: str, is_certain: bool):
        super().__init__(message)
        self.is_certain = is_certain


class EntryFenced(BasilwindError):
    """A journal entry was rejected because of a later claim or an earlier entry."""


class RequestInvalid(BasilwindError):
    """A caller's request is invalid; the message says what to change."""


class AuthenticationError(BasilwindError):
    """The caller's token is missing or not valid for the team."""


class WorkerUnreachable(BasilwindError):
    """A worker did not answer a query."""


class NotStarted(BasilwindError):
    """A request or job was not started, and this daemon will not start it."""


class OutcomeUnknown(BasilwindError):
    """A job or cancellation may have been stored, or may be stored later."""


class DaemonUnreachable(BasilwindError):
    """A daemon did not answer its client."""


class CallRefused(BasilwindError):
    """A call did not reach its receiver, so it had no effect."""


class ConnectionGone(CallRefused):
    """The connection that a call had to use was closed before."""


class CallUnanswered(BasilwindError):
    """A call got no answer; it may have taken effect or may do so later."""


class CallTimedOut(CallUnanswered):
    """No answer came in time, while the connection seemed to be sound."""


class StoreRefused(PlatformError):
    """The platform's store rejected a call, so it had no effect."""


class StoreUnanswered(PlatformError):
    """The platform's store did not answer; the call may still take effect."""


class StoreConflict(PlatformError):
    """A conditional append was rejected: the partition ends at another offset.

    Args:
        end: Offset that the next record will get.
    """

    def __init__(self, end):
        super().__init__(f"the partition ends at offset {end}")
        self.end = end


class ProducerFenced(PlatformError):
    """The store rejected a producer because a later owner has a higher epoch."""


class WorkerCallFailed(BasilwindError):
    """A worker answered that it did not carry out a call."""


class WorkerReplaced(WorkerCallFailed):
    """Another incarnation of the worker answers at its address."""


class NotOwner(BasilwindError):
    """This daemon does not own the pool, or no longer owns it."""

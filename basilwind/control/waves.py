"""How records change the maintenance waves of the control state."""

from dataclasses import replace

from basilwind.control.records import HostAction, WaveAction
from basilwind.control.state import WaveState, WaveStatus
from basilwind.errors import RecordInvalid

MAX_FINISHED_WAVES = 20
MIN_FAILED_TO_STOP = 2


def apply_wave(state, record, offset):
    """Applies a ``WaveRecord``.

    Raises:
        RecordInvalid: The record is rejected.
    """
    if record.action is WaveAction.DECLARE:
        state.waves[record.wave] = _new_wave(state, record, offset)
        _drop_old_finished(state)
        return
    wave = _checked_wave(state, record)
    status = _next_status(wave, record.action)
    state.waves[record.wave] = replace(wave, status=status, version=offset)


def check_wave_drain(state, record):
    """Checks that a wave allows a drain now.

    Raises:
        RecordInvalid: It does not.
    """
    wave = state.waves.get(record.wave)
    if wave is None or wave.status is not WaveStatus.RUNNING:
        raise RecordInvalid(f"wave {record.wave!r} is not running")
    if record.host not in wave.remaining:
        raise RecordInvalid(f"host {record.host!r} is not left in the wave")
    if hosts_out_in_wave(state, wave) >= wave.at_once:
        raise RecordInvalid(f"wave {record.wave!r} has {wave.at_once} hosts out")


def hosts_out_in_wave(state, wave):
    """Returns how many hosts are out of service because of a wave."""
    hosts = (state.hosts.get(name) for name in wave.remaining)
    return sum(
        host is not None and host.is_out and host.wave == wave.name for host in hosts
    )


def record_wave_progress(state, host, action, offset):
    """Updates a wave after an accepted change of a host that it drained.

    Args:
        state: ``ControlState``, changed in place.
        host: ``HostState`` before the change.
        action: ``HostAction`` of the change.
        offset: Offset of the record.
    """
    wave = state.waves.get(host.wave)
    if wave is None or host.name not in wave.remaining:
        return
    if action is HostAction.RETURN:
        wave = replace(wave, done=wave.done | {host.name}, version=offset)
    elif action is HostAction.FAIL:
        wave = replace(wave, failed=wave.failed | {host.name}, version=offset)
    else:
        return
    state.waves[wave.name] = replace(wave, status=_status_after(wave))


def _status_after(wave):
    tried = len(wave.done) + len(wave.failed)
    has_enough_failures = len(wave.failed) >= MIN_FAILED_TO_STOP
    if has_enough_failures and len(wave.failed) > wave.stop_share * tried:
        return WaveStatus.STOPPED
    return wave.status if wave.remaining else WaveStatus.DONE


def _new_wave(state, record, offset):
    known = state.waves.get(record.wave)
    if known is not None and not known.is_finished:
        raise RecordInvalid(f"wave {record.wave!r} is {known.status}; cancel it first")
    if not record.hosts or record.at_once < 1 or not 0 <= record.stop_share <= 1:
        raise RecordInvalid("a wave needs hosts, and at least one of them at once")
    hosts_in_waves = {
        h for w in state.waves.values() if not w.is_finished for h in w.remaining
    }
    for host in record.hosts:
        if host not in state.hosts:
            raise RecordInvalid(f"no host {host!r}")
        if host in hosts_in_waves:
            raise RecordInvalid(f"host {host!r} is in another wave")
    return WaveState(
        name=record.wave,
        hosts=tuple(dict.fromkeys(record.hosts)),
        at_once=record.at_once,
        stop_share=record.stop_share,
        finish_by=record.finish_by,
        declared_at=record.at,
        version=offset,
    )


def _checked_wave(state, record):
    wave = state.waves.get(record.wave)
    if wave is None:
        raise RecordInvalid(f"no wave {record.wave!r}")
    if wave.version != record.version:
        raise RecordInvalid(
            f"made for version {record.version} of the wave, which is at"
            f" {wave.version}; look again and retry"
        )
    if wave.is_finished:
        raise RecordInvalid(f"wave {record.wave!r} is {wave.status}")
    return wave


def _next_status(wave, action):
    if action is WaveAction.PAUSE:
        return WaveStatus.PAUSED
    if action is WaveAction.RESUME:
        return WaveStatus.RUNNING
    return WaveStatus.CANCELLED


def _drop_old_finished(state):
    finished = [wave for wave in state.waves.values() if wave.is_finished]
    finished.sort(key=lambda wave: wave.version)
    for wave in finished[:-MAX_FINISHED_WAVES]:
        del state.waves[wave.name]

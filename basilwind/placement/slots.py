"""Reservations of slots and other resources on a shard's workers."""

from dataclasses import dataclass

from basilwind.settings.generated.fleet import HostSettings


@dataclass(eq=False)
class WorkerSlots:
    """Resources of one worker, and how much of them is not reserved.

    Attributes:
        settings: ``HostSettings`` of the worker's host.
        free_slots: Slots not reserved.
        free_cpus: Processors not reserved.
        free_memory_gb: Memory not reserved, in GB.
        free_accelerators: Accelerators not reserved.
        running: Number of reservations held.
        is_placeable: Whether the host's phase and the worker's health allow new
            work.
        backoff_until: Until when it gets no work after a refusal or while
            unreachable, on the monotonic clock in seconds.
    """

    settings: HostSettings
    free_slots: int
    free_cpus: float
    free_memory_gb: float
    free_accelerators: int
    running: int = 0
    is_placeable: bool = False
    backoff_until: float = 0.0

    @property
    def name(self):
        """Name of the worker."""
        return self.settings.name

    def fits(self, demand):
        """Whether a demand fits the resources that are free now."""
        return (
            self.free_slots >= demand.slots
            and self.free_cpus >= demand.cpus
            and self.free_memory_gb >= demand.memory_gb
            and self.free_accelerators >= demand.accelerators
        )


@dataclass(eq=False)
class Reservation:
    """Resources of a worker that are held for one request.

    Attributes:
        worker: ``WorkerSlots`` of the worker.
        demand: ``Demand`` that is held.
        is_released: Whether it has been released.
    """

    worker: WorkerSlots
    demand: object
    is_released: bool = False


def could_ever_fit(settings, demand):
    """Whether a demand fits an idle host with these settings."""
    return (
        settings.slots >= demand.slots
        and settings.cpus >= demand.cpus
        and settings.memory_gb >= demand.memory_gb
        and settings.accelerators >= demand.accelerators
    )


class SlotTable:
    """The workers of a shard and the reservations on them.

    Args:
        ejector: ``Ejector`` of the shard.
    """

    def __init__(self, ejector):
        self._ejector = ejector
        self._workers = {}

    @property
    def workers(self):
        """``WorkerSlots`` by name."""
        return self._workers

    def update(self, hosts, is_placeable):
        """Sets the hosts of the shard.

        A worker whose host has left stays until its reservations are released.

        Args:
            hosts: ``HostSettings`` of all hosts in the shard.
            is_placeable: Function from a host's name to whether it may get new
                work.
        """
        names = {settings.name for settings in hosts}
        for name in list(self._workers):
            if name not in names and self._workers[name].running == 0:
                del self._workers[name]
        for worker in self._workers.values():
            worker.is_placeable = worker.name in names and is_placeable(worker.name)
        for settings in hosts:
            if settings.name not in self._workers:
                worker = _idle_worker(settings)
                worker.is_placeable = is_placeable(settings.name)
                self._workers[settings.name] = worker

    def reserve(self, demand, now):
        """Reserves resources on the fitting worker with the most free slots.

        Returns:
            A ``Reservation``, or None if the demand fits no worker now.
        """
        best = None
        for worker in self._workers.values():
            if not self._can_take(worker, demand, now):
                continue
            if best is None or worker.free_slots > best.free_slots:
                best = worker
        if best is None:
            return None
        _change_free(best, demand, -1)
        return Reservation(best, demand)

    def release(self, reservation):
        """Releases a reservation; does nothing if it is released already."""
        if reservation.is_released:
            return
        reservation.is_released = True
        _change_free(reservation.worker, reservation.demand, 1)

    def free_slots(self, now):
        """Returns the number of free slots on workers that may get new work."""
        return sum(
            worker.free_slots
            for worker in self._workers.values()
            if worker.is_placeable and not self._ejector.is_ejected(worker.name, now)
        )

    def total_slots(self):
        """Returns the number of slots of all placeable workers, ejected ones too."""
        return sum(
            worker.settings.slots
            for worker in self._workers.values()
            if worker.is_placeable
        )

    def _can_take(self, worker, demand, now):
        if not worker.is_placeable or now < worker.backoff_until:
            return False
        if self._ejector.is_ejected(worker.name, now):
            return False
        if worker.running and self._ejector.is_on_probation(worker.name):
            return False
        return worker.fits(demand)


def _idle_worker(settings):
    return WorkerSlots(
        settings=settings,
        free_slots=settings.slots,
        free_cpus=settings.cpus,
        free_memory_gb=settings.memory_gb,
        free_accelerators=settings.accelerators,
    )


def _change_free(worker, demand, sign):
    worker.free_slots += sign * demand.slots
    worker.free_cpus += sign * demand.cpus
    worker.free_memory_gb += sign * demand.memory_gb
    worker.free_accelerators += sign * demand.accelerators
    worker.running -= sign

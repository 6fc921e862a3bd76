"""Slots of a shard's workers."""

from dataclasses import dataclass

from basilwind.settings.generated.fleet import HostSettings


@dataclass(eq=False)
class WorkerSlots:
    """What one worker has and what of it is reserved.

    Attributes:
        settings: The host's declaration.
        free_slots: Slots not reserved.
        free_cpus: Processors not reserved.
        free_memory_gb: Memory not reserved, in GB.
        free_accelerators: Accelerators not reserved.
        running: Reservations held.
        is_placeable: Whether the worker's phase and health admit new work.
        busy_until: When a worker that refused is asked again, on the
            monotonic clock in seconds.
    """

    settings: HostSettings
    free_slots: int
    free_cpus: float
    free_memory_gb: float
    free_accelerators: int
    running: int = 0
    is_placeable: bool = False
    busy_until: float = 0.0

    @property
    def name(self):
        """Name of the worker."""
        return self.settings.name

    def fits(self, demand):
        """Whether the worker has room for a demand now."""
        return (
            self.free_slots >= demand.slots
            and self.free_cpus >= demand.cpus
            and self.free_memory_gb >= demand.memory_gb
            and self.free_accelerators >= demand.accelerators
        )


@dataclass(eq=False)
class Reservation:
    """Part of a worker that is held for one request.

    Attributes:
        worker: The worker.
        demand: What is held.
        is_released: Whether it has been given back.
    """

    worker: WorkerSlots
    demand: object
    is_released: bool = False


def could_ever_fit(settings, demand):
    """Whether an idle host of these settings has room for a demand."""
    return (
        settings.slots >= demand.slots
        and settings.cpus >= demand.cpus
        and settings.memory_gb >= demand.memory_gb
        and settings.accelerators >= demand.accelerators
    )


class SlotTable:
    """The workers of a shard.

    Args:
        ejector: ``Ejector`` of the shard.
    """

    def __init__(self, ejector):
        self._ejector = ejector
        self._workers = {}

    @property
    def workers(self):
        """Workers by name."""
        return self._workers

    def update(self, hosts, is_placeable):
        """Takes in the hosts that are in the shard now.

        Args:
            hosts: Host settings.
            is_placeable: Function from a host's name to whether it takes work.
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
        """Reserves room on the least loaded worker.

        Returns:
            A ``Reservation``, or None if no worker has room.
        """
        best = None
        for worker in self._workers.values():
            if not self._takes(worker, demand, now):
                continue
            if best is None or worker.free_slots > best.free_slots:
                best = worker
        if best is None:
            return None
        _adjust(best, demand, -1)
        return Reservation(best, demand)

    def release(self, reservation):
        """Gives a reservation back."""
        if reservation.is_released:
            return
        reservation.is_released = True
        _adjust(reservation.worker, reservation.demand, 1)

    def free_slots(self, now):
        """Returns how many slots are free on workers that take work."""
        return sum(
            worker.free_slots
            for worker in self._workers.values()
            if worker.is_placeable and not self._ejector.is_ejected(worker.name, now)
        )

    def total_slots(self):
        """Returns how many slots the workers that take work have."""
        return sum(
            worker.settings.slots
            for worker in self._workers.values()
            if worker.is_placeable
        )

    def _takes(self, worker, demand, now):
        if not worker.is_placeable or now < worker.busy_until:
            return False
        if self._ejector.is_ejected(worker.name, now):
            return False
        if worker.running and self._ejector.is_on_trial(worker.name):
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


def _adjust(worker, demand, sign):
    worker.free_slots += sign * demand.slots
    worker.free_cpus += sign * demand.cpus
    worker.free_memory_gb += sign * demand.memory_gb
    worker.free_accelerators += sign * demand.accelerators
    worker.running -= sign

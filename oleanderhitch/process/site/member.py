"""One group's replica on a store, with a data directory of its own."""

import random
import shutil
import uuid
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import gevent
import logbook
from gevent.lock import BoundedSemaphore

from oleanderhitch.connection.codec import Codec
from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.address import Address
from oleanderhitch.process.clock import Clock
from oleanderhitch.process.groups.messages import GroupRedirect, LocalCall
from oleanderhitch.process.ids import GroupId, NodeId, ReplicaId
from oleanderhitch.process.mailbox import make_mailbox
from oleanderhitch.process.repair.core import BalanceSlot, RepairState
from oleanderhitch.process.repair.messages import (
    LeadershipObserved,
    StoreHello,
    StoreRecordsChanged,
)
from oleanderhitch.process.repair.task import RepairDependencies, make_repair_task
from oleanderhitch.process.replication.effect_handlers import GroupState, OperatorCall
from oleanderhitch.process.replication.effects import LeadershipChanged
from oleanderhitch.process.replication.messages import (
    GetReplicationStatus,
    ReplicationStatus,
    TransferLeadership,
)
from oleanderhitch.process.replication.states import Role
from oleanderhitch.process.replication.task import make_group_task
from oleanderhitch.process.site.application import (
    SiteApplication,
    make_site_application,
)
from oleanderhitch.process.site.group import (
    SITE_LIMITS,
    SITE_STORAGE_LIMITS,
    SITE_TIMING,
)
from oleanderhitch.process.site.messages import EMPTY_ROUTING, RoutingFound
from oleanderhitch.process.storage.files import sync_directory
from oleanderhitch.process.storage.task import Storage, open_storage
from oleanderhitch.process.task import Task
from oleanderhitch.values import Value

CONTENTS_FOLDER = "contents"
DAMAGED_SUFFIX = ".damaged"
STATUS_TIMEOUT = timedelta(milliseconds=500)
# A replica that waits for its disk must not delay the exit of the process.
REPLICA_STOP_TIMEOUT = timedelta(milliseconds=300)
NO_REQUEST_ID = 0

log = logbook.Logger("store")


class MemberSettings(Value, frozen=True):
    """What one member needs to know of its store and its group.

    `may_bootstrap` allows it to form a new group with the seeds.
    """

    group: GroupId
    node: NodeId
    seeds: tuple[NodeId, ...]
    directory: Path
    may_bootstrap: bool
    n_target_voters: int
    balance_slot: BalanceSlot


class MemberDependencies(Value, frozen=True):
    """The collaborators that all members of a store share.

    `transport` takes the envelopes to other replicas. `end_process` gets the reason why
    the store can't continue.
    """

    transport: Address
    send_to_node: Callable[[NodeId, object], None]
    codec: Codec
    on_leadership_change: Callable[[GroupId, LeadershipChanged], None]
    on_routing_change: Callable[[GroupId], None]
    end_process: Callable[[str], None]


class _ReplySink:
    """Reply address for requests whose outcome shows elsewhere."""

    def send(self, message: object) -> None:
        """Discard a reply."""


class GroupMember:
    """Owner of the tasks and the files of this store's replica of a group.

    A replica that was replaced starts anew with an empty directory.
    """

    def __init__(
        self, settings: MemberSettings, dependencies: MemberDependencies, clock: Clock
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._clock = clock
        self._may_bootstrap = settings.may_bootstrap
        self._role = Role.FOLLOWER
        self._leader: ReplicaId | None = None
        self._is_starting_anew = False
        self._has_stopped = False
        # The files are opened in a thread and must not be opened again meanwhile.
        self._files_lock = BoundedSemaphore()
        self._storage: Storage | None = None
        self._application: SiteApplication | None = None
        self._replica: Task[GroupState] | None = None
        self._repair: Task[RepairState] | None = None

    @property
    def group(self) -> GroupId:
        """The group."""
        return self._settings.group

    @property
    def replica_id(self) -> ReplicaId | None:
        """The replica's id, None while it is not open; a new disk gets a new id."""
        return None if self._storage is None else self._storage.replica

    @property
    def role(self) -> Role:
        """The role of the replica."""
        return self._role

    @property
    def leader(self) -> ReplicaId | None:
        """The leader that the replica leads or follows, if it is known."""
        return self._leader

    @property
    def routing(self) -> RoutingFound:
        """The routing configuration in the replica's state."""
        application = self._application
        return EMPTY_ROUTING if application is None else application.routing

    @property
    def n_turns(self) -> int:
        """The number of turns in the replica's state."""
        return 0 if self._application is None else self._application.n_turns

    def open(self) -> None:
        """Recover the replica and start its tasks; raise StorageError or OSError."""
        settings, dependencies = self._settings, self._dependencies
        directory = settings.directory
        with self._files_lock:
            if self._has_stopped:
                return
            self._storage = open_storage(
                directory, settings.node, self._clock, SITE_STORAGE_LIMITS
            )
            self._application = make_site_application(
                directory / CONTENTS_FOLDER,
                self._handle_routing_change,
                self._send_records_to_repair,
            )
        if self._has_stopped:
            self._release()
            return
        self._replica = make_group_task(
            settings.group,
            settings.node,
            settings.seeds,
            self._storage,
            self._application,
            dependencies.transport,
            self._clock,
            random.Random(uuid.uuid4().int),
            SITE_TIMING,
            SITE_LIMITS,
            self._handle_leadership_change,
            may_bootstrap=self._may_bootstrap,
        )
        self._application.remove_unused_files()
        self._repair = make_repair_task(
            settings.n_target_voters,
            settings.balance_slot,
            RepairDependencies(
                settings.group,
                self._replica,
                dependencies.codec,
                dependencies.send_to_node,
            ),
            self._clock,
        )
        self._storage.start()
        self._repair.start()
        self._replica.start()
        self._send_records_to_repair()

    def send(self, message: object) -> None:
        """Deliver a message to the replica, or drop it while it is not open."""
        if self._replica is not None:
            self._replica.send(message)

    def call(self, call: LocalCall) -> None:
        """Deliver a call to the replica; redirect it while it is not open."""
        if self._replica is None:
            call.reply_address.send(GroupRedirect(call.group_call.call, None))
        else:
            self._replica.send(call)

    def observe_store(self, hello: StoreHello) -> None:
        """Report a store with a replica of this group to the repair of the group.

        Only the leader repairs its group.
        """
        if self._repair is not None and self._role is Role.LEADER:
            self._repair.send(hello)

    def find_status(self) -> ReplicationStatus | None:
        """Return the status of the replica, or None without a reply."""
        reply_mailbox = make_mailbox("status")
        request = GetReplicationStatus(NO_REQUEST_ID, self.group)
        self.send(OperatorCall(request, reply_mailbox))
        status = reply_mailbox.receive(STATUS_TIMEOUT)
        return status if isinstance(status, ReplicationStatus) else None

    def transfer_leadership(self) -> None:
        """Hand over the leadership to another replica, if this one leads."""
        if self._role is Role.LEADER:
            self.send(OperatorCall(TransferLeadership(), _ReplySink()))

    def start_anew(
        self, reason: str, clear_directory: Callable[[Path], None] | None = None
    ) -> None:
        """Drop the replica and start with an empty directory.

        `clear_directory` empties the directory; by default all files are removed.
        """
        if not self._is_starting_anew:
            self._is_starting_anew = True
            log.warning(
                "restarting replica with an empty directory",
                group=self.group,
                reason=reason,
            )
            gevent.spawn(self._start_anew, clear_directory or empty_directory)

    def stop(self) -> None:
        """Stop the tasks of the replica for good."""
        self._has_stopped = True
        self._stop_tasks()

    def _stop_tasks(self) -> None:
        for task in (self._replica, self._repair):
            if task is not None:
                task.stop()
        if self._replica is not None:
            self._replica.join(REPLICA_STOP_TIMEOUT)

    def close(self) -> None:
        """Stop the tasks for good and release the files."""
        self._has_stopped = True
        self._release()

    def _release(self) -> None:
        self._stop_tasks()
        with self._files_lock:
            if self._storage is not None:
                self._storage.close()
            if self._application is not None:
                # A later replica in this directory uses the numbers of files again.
                self._application.join_removal()
            self._replica = self._repair = self._storage = None

    def _start_anew(self, clear_directory: Callable[[Path], None]) -> None:
        try:
            self._release()
            clear_directory(self._settings.directory)
            # The group exists, so the empty replica must join it, not form a new one.
            self._may_bootstrap = False
            self._role, self._leader = Role.FOLLOWER, None
            self.open()
        except (OSError, OleanderhitchError) as error:
            self._dependencies.end_process(
                f"replica of group {self.group} can't begin anew: {error}"
            )
        finally:
            self._is_starting_anew = False

    def _handle_routing_change(self) -> None:
        self._dependencies.on_routing_change(self.group)

    def _send_records_to_repair(self) -> None:
        # Recovery restores a snapshot before the repair task exists; `open()` sends it
        # the restored records.
        if self._repair is not None and self._application is not None:
            self._repair.send(StoreRecordsChanged(self._application.records))

    def _handle_leadership_change(self, change: LeadershipChanged) -> None:
        self._role = change.role
        self._leader = change.leader
        if self._repair is not None:
            self._repair.send(LeadershipObserved(change.role is Role.LEADER))
        self._dependencies.on_leadership_change(self.group, change)


def empty_directory(directory: Path) -> None:
    """Remove the content of a data directory; raise OSError."""
    for path in directory.iterdir():
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()


def set_aside_directory(directory: Path) -> None:
    """Keep the logs and snapshots of a data directory beside it and empty it.

    A copy kept earlier is removed: a replica that is damaged again had been repaired.
    Raise OSError.
    """
    kept = directory.with_name(directory.name + DAMAGED_SUFFIX)
    shutil.rmtree(kept, ignore_errors=True)
    directory.rename(kept)
    directory.mkdir()
    sync_directory(directory.parent)
    # The contents of turns are large and can't explain the damage.
    shutil.rmtree(kept / CONTENTS_FOLDER, ignore_errors=True)


def make_group_member(
    settings: MemberSettings, dependencies: MemberDependencies, clock: Clock
) -> GroupMember:
    """Return a member that is not open yet."""
    return GroupMember(settings, dependencies, clock)

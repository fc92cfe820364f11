"""Restart a store with an empty data directory after its replica was replaced."""

import shutil
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import gevent
import logbook

from oleanderhitch.exceptions import OleanderhitchError
from oleanderhitch.process.site.settings import SiteStoreSettings
from oleanderhitch.process.site.store import Store

# Gets the reason.
EndProcess = Callable[[str], None]
# Gets the reason and whether the data directory must be emptied.
EndStore = Callable[[str, bool], None]
MakeStore = Callable[[SiteStoreSettings, EndStore], Store]

log = logbook.Logger("store")


class StoreSupervisor:
    """Owner of a process's store; restarts it empty if its replica was replaced."""

    def __init__(
        self,
        settings: SiteStoreSettings,
        make_store: MakeStore,
        end_process: EndProcess,
    ) -> None:
        self._settings = settings
        self._make_store = make_store
        self._end_process = end_process
        self._is_restarting = False
        self._store = make_store(settings, self._end_store)

    @property
    def store(self) -> Store:
        """The current store, which a restart replaces."""
        return self._store

    def start(self) -> None:
        """Start the store; raise OSError if an address is unavailable."""
        self._store.start()

    def apply_settings(self, settings: SiteStoreSettings) -> None:
        """Pass reloaded settings to the store.

        Their site settings apply as a whole when the store is restarted empty.
        """
        self._settings = replace(self._settings, site=settings.site)
        self._store.apply_settings(settings)

    def stop(self) -> None:
        """Stop the store gracefully."""
        self._store.stop()

    def _end_store(self, reason: str, must_empty_data: bool) -> None:
        if not must_empty_data:
            self._end_process(reason)
        elif not self._is_restarting:
            self._is_restarting = True
            log.warning("restarting store with an empty data directory", reason=reason)
            gevent.spawn(self._restart_empty)

    def _restart_empty(self) -> None:
        try:
            self._store.close()
            empty_directory(self._settings.data_dir)
            # The group exists, so the empty store must join it, not form a new one.
            self._settings = replace(self._settings, may_bootstrap=False)
            self._store = self._make_store(self._settings, self._end_store)
            self._store.start()
        except (OSError, OleanderhitchError) as error:
            self._end_process(f"store can't begin anew: {error}")
        finally:
            self._is_restarting = False


def empty_directory(directory: Path) -> None:
    """Remove the content of a data directory; raise OSError."""
    for path in directory.iterdir():
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()


def make_store_supervisor(
    settings: SiteStoreSettings, make_store: MakeStore, end_process: EndProcess
) -> StoreSupervisor:
    """Return the supervisor of a store, not started yet; raise StorageError."""
    return StoreSupervisor(settings, make_store, end_process)

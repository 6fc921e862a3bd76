"""The tree of declared settings: one fleet subtree and one subtree per team."""

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from basilwind.errors import SettingsError
from basilwind.settings.generated.fleet import FleetSettings
from basilwind.settings.generated.team import TeamSettings
from basilwind.settings.loader import load_file

FLEET = "fleet"
TEAM_PREFIX = "teams/"
FILE_SUFFIX = ".jsonc"


@dataclass
class SettingsTree:
    """Declared settings of the fleet and of all teams.

    Attributes:
        fleet: The fleet subtree, or None.
        teams: Team subtrees by team name.
    """

    fleet: FleetSettings | None = None
    teams: dict[str, TeamSettings] = field(default_factory=dict)

    def subtrees(self):
        """Returns the settings of each subtree by subtree name."""
        by_name = {}
        if self.fleet is not None:
            by_name[FLEET] = self.fleet
        for team, settings in self.teams.items():
            by_name[team_subtree(team)] = settings
        return by_name

    def put(self, subtree, settings):
        """Replaces one subtree."""
        if subtree == FLEET:
            self.fleet = settings
        else:
            self.teams[team_of_subtree(subtree)] = settings


def team_subtree(team):
    """Returns the name of a team's subtree."""
    return TEAM_PREFIX + team


def team_of_subtree(subtree):
    """Returns the team that a subtree belongs to; empty for the fleet subtree."""
    if not subtree.startswith(TEAM_PREFIX):
        return ""
    return subtree[len(TEAM_PREFIX) :]


def model_of_subtree(subtree):
    """Returns the settings model of a subtree.

    Raises:
        SettingsError: The name is not that of a subtree.
    """
    if subtree == FLEET:
        return FleetSettings
    team = team_of_subtree(subtree)
    if team and "/" not in team:
        return TeamSettings
    message = f"no subtree {subtree!r}; use 'fleet' or 'teams/NAME'"
    raise SettingsError(message)


def load_tree(directory):
    """Loads a settings directory: ``fleet.jsonc`` and ``teams/NAME.jsonc``.

    Raises:
        SettingsError: A file is missing or not valid.
    """
    directory = Path(directory)
    fleet_file = directory / f"{FLEET}{FILE_SUFFIX}"
    if not fleet_file.exists():
        message = f"no {fleet_file.name} here; name the directory that holds it"
        raise SettingsError(message, file=str(directory))
    tree = SettingsTree(fleet=load_file(fleet_file, FleetSettings))
    for file in sorted((directory / "teams").glob(f"*{FILE_SUFFIX}")):
        team = file.name[: -len(FILE_SUFFIX)]
        tree.teams[team] = load_file(file, TeamSettings)
    return tree


def to_document(settings):
    """Converts a settings model to plain values for publishing."""
    return msgspec.to_builtins(settings)

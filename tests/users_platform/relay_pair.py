"""Entry VMs of which one forwards the sessions of a team to another."""

from standin import Caller, document

TEAM_KEYS = {f"team-{n}": [f"key-{n}"] for n in range(12)}


def team_document(version, keys=TEAM_KEYS, **changes):
    """Return a configuration with teams, so that sessions are forwarded."""
    tenants = [{"name": name, "api_keys": held} for name, held in keys.items()]
    return document(version, tenants=tenants, n_connections_max=20, **changes)


async def apply(deployment, version, **changes):
    """Apply a configuration with teams, and wait until all entry VMs have it."""
    assert (await deployment.put(team_document(version, **changes))).status == 200
    for entry in deployment.entries.values():
        await deployment.until(lambda entry=entry: entry._view.table.version == version)


class Pair:
    """An entry VM that forwards a team's sessions, their owner, and a third VM."""

    def __init__(self, deployment):
        self.deployment = deployment
        entries = deployment.entries
        by_address = {
            settings.peer_address: node
            for node, settings in deployment.settings.items()
        }
        for team in TEAM_KEYS:
            orders = {
                node: daemon._directory.candidates(team, "db")
                for node, daemon in entries.items()
            }
            # All three VMs hold connections or two of them: one of them owns the team.
            owners = {order[0] for order in orders.values() if order}
            if len(owners) == 1 and sum(bool(order) for order in orders.values()) == 2:
                break
        self.owner = by_address[owners.pop()]
        self.entry, self.other = (node for node, order in orders.items() if order)
        self.team = team
        self.key = TEAM_KEYS[team][0]

    @property
    def owner_daemon(self):
        """Return the daemon of the owner."""
        return self.deployment.entries[self.owner]

    async def open(self, database="orders"):
        """Open a session that the entry VM forwards to the owner."""
        address = self.deployment.caller_address(self.entry)
        return await Caller.open(address, database, self.key)

    def events(self, node, name):
        """Return the lines of one event in the log of a node."""
        return [e for e in self.deployment.events(node) if e["event"] == name]

    @property
    def n_served(self):
        """Return the number of sessions that the owner runs for other entry VMs."""
        return self.owner_daemon._relay_owner.n_sessions


async def open_pair(deployment):
    """Apply a configuration with teams; return an entry VM and the owner of a team."""
    await apply(deployment, 2)
    for entry in deployment.entries.values():
        await deployment.until(lambda e=entry: e._directory._owners.n_entries == 3)
    return Pair(deployment)

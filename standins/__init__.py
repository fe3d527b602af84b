"""Stand-ins for the platform and the minions; for tests and the demo only."""

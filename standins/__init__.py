"""Stand-ins for the log, workers and minions, for tests and the demo only."""

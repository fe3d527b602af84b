"""Scheduler of batch jobs on minions, with a sidecar beside each minion.

A job consists of steps, and a step of tasks. The package has the same layout as the
whole code base: rows in `tables`, functions over them in `systems`, validated models in
`models`, input and output in `edges`. It depends on no external system: an adapter
connects it to the log, the minions and the callers.
"""

"""Batch jobs: steps of tasks that run on minions, in a scheduler and its sidecars.

The package keeps to the shape of the whole code base: rows in `tables`, functions
over them in `systems`, validated models in `models`, input and output in `edges`.
It knows no outside system; an adapter brings the log, the minions and the callers.
"""

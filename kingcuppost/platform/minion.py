"""The minion beside a sidecar: its heartbeats, its lists of runs, orders to it."""

from kingcuppost.platform import minion_heartbeats, minion_lists, minion_orders

__all__ = ["minion_heartbeats", "minion_lists", "minion_orders"]

"""Order of waiting work when not all of it can be in time.

`cost_order` is the decision, on the forecast of `forecast`, which counts the work of
runs as `running_work` keeps it. Importing the package registers the order.
"""

from kingcuppost.batch.systems.overload.cost_order import order_by_cost
from kingcuppost.batch.systems.queue_order import queue_orders

__all__ = ["order_by_cost", "queue_orders"]

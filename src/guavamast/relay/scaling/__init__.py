"""How many engines of which kind each failure domain needs, and the orders for them."""

from guavamast.relay.scaling.demand import DemandCounter, ServiceDemand
from guavamast.relay.scaling.engine_scaling import EngineScaling
from guavamast.relay.scaling.marginal_policy import MarginalPolicy
from guavamast.relay.scaling.order_book import OrderBook
from guavamast.relay.scaling.policy import GroupState, ScalingPolicy, ScalingView

__all__ = [
    "DemandCounter",
    "EngineScaling",
    "GroupState",
    "MarginalPolicy",
    "OrderBook",
    "ScalingPolicy",
    "ScalingView",
    "ServiceDemand",
]

"""Schemas and operation mixes of the two deployment sizes."""

import msgspec

from cardamomshunt_testing._load_history import OperationKind

N_ITEMS = 20

_ORDERS = [
    # Without a unique key, an order that ran twice is stored twice and detected.
    "CREATE TABLE orders (order_id VARCHAR(64), session VARCHAR(64), quantity INT)",
    "CREATE INDEX orders_by_id ON orders (order_id)",
]
_STOCK = [
    "CREATE TABLE stock (item_id INT PRIMARY KEY, version INT)",
    *(f"INSERT INTO stock VALUES ({item}, 0)" for item in range(N_ITEMS)),
]
_DISPATCH = [
    "CREATE TABLE dispatches (order_id VARCHAR(64), session VARCHAR(64))",
    "CREATE INDEX dispatches_by_id ON dispatches (order_id)",
]


class Mix(msgspec.Struct, kw_only=True, frozen=True):
    """Deployment size: its databases, its zones and the weights of its operations."""

    name: str
    zones: list[str]
    zone_delay_ms: float
    n_slots: int
    connect_delay_ms: float
    schemas: dict[str, list[str]]
    dispatch_database: str
    weights: dict[OperationKind, float]
    max_age_ms: float
    n_entry_vms: int


KITI_BORA = Mix(
    name="kiti-bora",
    zones=["nairobi-a", "nairobi-b", "nairobi-c"],
    zone_delay_ms=3.0,
    n_slots=5,
    connect_delay_ms=10.0,
    schemas={"orders": _ORDERS, "stock": _STOCK, "dispatch": _DISPATCH},
    dispatch_database="dispatch",
    weights={
        OperationKind.LOOKUP: 0.70,
        OperationKind.OWN_READ: 0.15,
        OperationKind.ORDER: 0.10,
        OperationKind.DISPATCH: 0.05,
    },
    max_age_ms=1_000.0,
    n_entry_vms=7,
)

ZARQA = Mix(
    name="zarqa",
    zones=["zarqa-a", "zarqa-b", "zarqa-c"],
    zone_delay_ms=5.0,
    n_slots=3,
    connect_delay_ms=30.0,
    schemas={"orders": _ORDERS, "stock": _STOCK, "fitting": _DISPATCH},
    dispatch_database="fitting",
    weights={
        OperationKind.LOOKUP: 0.45,
        OperationKind.OWN_READ: 0.15,
        OperationKind.ORDER: 0.30,
        OperationKind.DISPATCH: 0.10,
    },
    max_age_ms=1_000.0,
    n_entry_vms=7,
)

MIXES = {mix.name: mix for mix in (KITI_BORA, ZARQA)}

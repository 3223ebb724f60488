"""Leases with fencing numbers: one instance at a time may do what a lease stands for."""

from guavamast.leases.holder import LeaseHolder
from guavamast.leases.lease import (
    HeldLease,
    LeasedRecords,
    LeaseParameters,
    LeaseRecord,
    LeaseRow,
)
from guavamast.leases.platform_table import LEASE_TABLE, PlatformLeaseTable
from guavamast.leases.table import LeaseRead, LeaseTable, LeaseWrite
from guavamast.leases.watch import LeaseWatch

__all__ = [
    "LEASE_TABLE",
    "HeldLease",
    "LeasedRecords",
    "LeaseHolder",
    "LeaseParameters",
    "LeaseRead",
    "LeaseRecord",
    "LeaseRow",
    "LeaseTable",
    "LeaseWatch",
    "LeaseWrite",
    "PlatformLeaseTable",
]

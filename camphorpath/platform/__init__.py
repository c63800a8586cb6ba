"""Clients of the platform: the table, the object store and the VM list."""

from .objects import ObjectStore
from .records import Check, Row, Vm, Write
from .table import Table
from .vms import VmList

__all__ = ('Check', 'ObjectStore', 'Row', 'Table', 'Vm', 'VmList', 'Write')

"""Admission of requests: the owner of a service's queue and the client in each home daemon.

The home daemon of a request is the one that accepted it and alone may dispatch it.
"""

from .client import AdmissionClient
from .owner import AdmissionOwner
from .records import Grant, Ticket
from .session import HomeSession

__all__ = ('AdmissionClient', 'AdmissionOwner', 'Grant', 'HomeSession', 'Ticket')

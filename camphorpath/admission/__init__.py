"""Admission of requests: the owner of a service's queue and the client of each home daemon."""

from .client import AdmissionClient
from .owner import AdmissionOwner
from .records import Grant, Ticket
from .session import HomeSession

__all__ = ('AdmissionClient', 'AdmissionOwner', 'Grant', 'HomeSession', 'Ticket')

"""Acknowledgement policies; importing this package registers them."""

from catkincrank.acknowledgements.bounded import BoundedAcknowledgement
from catkincrank.acknowledgements.replica import ReplicaAcknowledgement

__all__ = ('BoundedAcknowledgement', 'ReplicaAcknowledgement')

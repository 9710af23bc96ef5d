"""Acknowledgement policies; importing this package registers them."""

from catkincrank.acknowledgements.replica import ReplicaAcknowledgement

__all__ = ('ReplicaAcknowledgement',)

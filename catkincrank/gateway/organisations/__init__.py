"""Organisations: their keys, and limits that all VMs keep together."""

"""Data path over endpoints that prove log positions, and its failover."""

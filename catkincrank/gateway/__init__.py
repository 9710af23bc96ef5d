"""Proxy data path for endpoints that report log positions, with failover."""

"""Stand-ins for endpoints, the platform and the network between them."""

"""Stand-ins and programs of the scripts of cases 6 to 10."""

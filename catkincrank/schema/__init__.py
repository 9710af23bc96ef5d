"""Schema of the messages between the project's own processes."""

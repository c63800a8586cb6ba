"""Messages and settings, generated from camphorpath.proto."""

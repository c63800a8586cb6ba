"""Tools for developers: the demo, the soak and the measurement."""

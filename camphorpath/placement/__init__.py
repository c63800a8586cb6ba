"""Choice of daemon, queue position and upstream for a call, without input or output."""

"""Settings of one daemon and the configuration that all daemons share."""

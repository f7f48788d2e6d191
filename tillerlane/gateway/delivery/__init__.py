"""Connections to runners that fall silent: how they are found, and how their runs are stopped."""

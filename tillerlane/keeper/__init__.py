"""The keepers: a replicated log on a few disks, and the state that it agrees on."""

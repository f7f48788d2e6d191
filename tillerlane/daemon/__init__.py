"""The daemon: puts the roles of one process together and runs them."""

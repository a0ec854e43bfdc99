"""Runs real processes of the program with faults on their links, and checks the result."""

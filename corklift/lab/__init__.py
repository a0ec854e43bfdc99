"""Simulation around the real decisions: fleets in virtual time, experiments and exploration."""

"""Provides the rehearsal harness: scenarios, stand-ins, scripted clients, faults, the judge and the report."""

"""The rehearsal kit: scenarios, stand-ins, scripted clients, faults, the judge and the report."""

"""Benchmark of the scheduling decisions on seeded workloads."""

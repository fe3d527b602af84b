"""A small driver that measures the scheduling decisions on seeded lists."""

"""Route inference requests and reinforcement-learning rollouts to a pool of engines.

The organisations that share the pool compete with each other, so their data stays separate.
"""

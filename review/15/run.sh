#!/bin/sh
cd "$(dirname "$0")/../.." && PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec timeout 115 python3 review/15/case.py

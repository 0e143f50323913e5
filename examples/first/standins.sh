#!/bin/sh
# Runs the stand-ins that the first deployment needs: the platform, two model
# engines and a plain service, all in one process.
exec go run ./internal/fake/cmd/standins \
  --platform 127.0.0.1:7000 \
  --engine 127.0.0.1:9001 --engine 127.0.0.1:9002 \
  --service 127.0.0.1:9101 \
  --instances '[
    {"name": "entry-1", "data_centre": "dc-a", "state": "live", "peer_addr": "127.0.0.1:7102", "caller_addr": "127.0.0.1:7101"},
    {"name": "entry-2", "data_centre": "dc-b", "state": "live", "peer_addr": "127.0.0.1:7202", "caller_addr": "127.0.0.1:7201"},
    {"name": "entry-3", "data_centre": "dc-c", "state": "live", "peer_addr": "127.0.0.1:7302", "caller_addr": "127.0.0.1:7301"}
  ]'

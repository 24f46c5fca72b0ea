; Work on behalf of the whole fleet: roles that one relay holds at a time, on Consul's sessions and locks. Beside
; the platform's configuration (GW_CONFIG) this is the whole file. Off in deploy/balancer.toml.
; Operators' page: docs/ownership-operations.md.

(consul (address "127.0.0.1:8500"))     ; the agent on this machine; numeric

(fleet
  (prefix "fennellane")                 ; of all keys in Consul; a role's lock is PREFIX/role/ROLE
  (roles "sweep")                       ; that this relay may hold

  ; The lease. Its times hang together: see the operators' page before changing one.
  (ttl-ms 15000)                        ; of the session
  (renew-ms 5000)
  (margin-ms 2000)                      ; the holder acts no more so long before its TTL is up
  (lock-delay-ms 15000)                 ; nobody gets a lapsed lock for so long
  (call-ms 2000)                        ; the longest wait for one answer
  (retry-ms 1000)
  (spread-ms 5000)                      ; tries at a free lock are spread over so long
  (wait-ms 15000)                       ; a read of a lock's key waits so long for a change
  (consul-least-ttl-ms 10000)           ; the agents' session_ttl_min

  ; Registrations of relays whose own check has been critical for so long go from the catalogue.
  (sweep (service "fennellane")         ; the relays' own; left out: as the relay registers itself
    (every-ms 30000) (stale-after-ms 900000)))

; Drains and releases agreed across the fleet: a disruption budget for stops, upgrades and releases, and staged releases.
; Beside the platform's configuration (GW_CONFIG) this is the whole file. Off in deploy/balancer.toml.
; Operators' page: docs/drains-operations.md.

(consul (address "127.0.0.1:8500"))     ; the agent on this machine; numeric

(upgrade                                ; a release moves each relay by a handover: docs/upgrade-operations.md
  (start-ms 10000) (state-ms 400) (taken-ms 200))

(fleet
  (prefix "fennellane")                 ; of all keys in Consul
  (roles "drain")                       ; that this relay may hold: drain coordinates releases

  ; The disruption budget. What stands in the store goes before these bounds: `fennellane budget` sets it.
  (drain (zone "a")                     ; of this relay
    (most 3)                            ; relays out at once; 0 leaves it out
    (per-zone 1)                        ; of one zone
    (percent 10)                        ; of the relays registered; needs the service
    (service "fennellane")              ; the relays' own in the catalogue: those that are down count too
    (on-sigterm true) (on-upgrade true) ; what waits for a slot
    ; Its times hang together: see the operators' page before changing one.
    (ttl-ms 60000) (renew-ms 15000) (margin-ms 5000)
    (out-ms 20000)                      ; the longest planned outage, from SIGTERM taken up to ready again
    (call-ms 2000) (retry-ms 1000))

  ; Staged releases. A build is a program in this folder, and its name the build's.
  (release (folder "/opt/fennellane")
    (report-ms 5000)                    ; each relay reports so often, while a release goes on
    (gather-ms 15000)                   ; from its start until the waves are planned
    (watch-ms 120000)                   ; a wave that has moved, before the next begins
    (watch-most-ms 600000)              ; likewise, where there is too little traffic to tell
    (move-ms 300000)                    ; a wave that has not moved by then halts the release
    (silent-ms 20000)                   ; a relay without a report for so long does not count as serving
    (least-ends 50) (z 4) (difference 0.02)))  ; the test of health

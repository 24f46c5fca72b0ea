; A cap on endpoints out, agreed by all relays of the fleet. Beside the platform's configuration (GW_CONFIG) this is
; the whole file. Off in deploy/balancer.toml. Operators' page: docs/drains-operations.md.

(consul (address "127.0.0.1:8500"))     ; the agent on this machine; numeric

(fleet
  (prefix "fennellane")                 ; of all keys in Consul
  (roles "ejection")                    ; that this relay may hold: ejection sums up the reports

  (ejection
    (percent 50)                        ; of a destination's endpoints may be out; rounded down, one at least
    (all-percent 30)                    ; of all endpoints, likewise
    (voices 2)                          ; an endpoint is out where so many relays say so, or all that report,
    (voices-percent 10)                 ; and so many of those that report
    (every-ms 2000)                     ; between two looks
    (stale-ms 15000)))                  ; a report, or a verdict, that is not renewed for so long counts no more

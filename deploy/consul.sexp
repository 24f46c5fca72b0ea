; The cluster from Consul. Beside the platform's configuration (GW_CONFIG) this is the whole file; without a
; platform, put the parts of deploy/example.sexp above "membership" in front. Off in deploy/balancer.toml.
; Operators' page: docs/consul-operations.md.

(membership "consul")
(consul
  (address "127.0.0.1:8500")            ; the agent on this machine; numeric
  ; (token-file "/etc/fennellane/consul.token")   ; read at the start and on SIGHUP, never logged
  ; (datacenter "athens")               ; the agent's own where it is left out
  (consistency "default")               ; default, stale or consistent
  (wait-ms 55000)                       ; how long a query may wait for a change, a little less each time
  (answer-ms 10000)                     ; from an answer's first byte to its last
  (most-stale-ms 5000)                  ; an answer from a server out of touch for longer is asked for again
  (queries-per-second 50)               ; over all services

  ; One watch for each. What is given here stands where an instance's Meta says nothing.
  (service (name "bank-gateway") (kind "bank-gateways"))
  (service (name "franchisee-office") (tag "live") (kind "franchisee-offices"))

  ; The keys of Service.Meta that are read.
  (meta (destination "destination") (zone "zone") (kind "kind") (rate "rate"))
  (rate-of "destination")               ; the rate is the whole destination's, or "host": one host's, added up

  ; More than this share of a destination's hosts lost at once, without having drained, is not believed until
  ; Consul's leader has said so twice or this time is over.
  (loss (most-share 0.5) (hold-ms 60000))

  ; A host that comes and goes: each going counts 1, halved every half-life; over "suppress" its return waits
  ; until "reuse", or for "most-ms". A drain never waits.
  (damping (suppress 3) (reuse 1.5) (half-life-ms 15000) (most-ms 60000))

  ; The relay itself as a service, with a TTL check that passes while it is ready.
  ; (register (service "fennellane") (ttl-ms 10000) (forget-after-ms 600000))
  )

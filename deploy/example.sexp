; The smallest installation: one relay on loopback, two partner systems named here, no platform.
;
;   fennellane serve --settings deploy/example.sexp --state /tmp/fennellane
;
; A message then goes to http://127.0.0.1:8080/<class>, see README.md. All names, units and bounds stand in
; deploy/settings.schema.json; what is left out has the default given here.

(name "relay-1")                        ; in the log
(listen "127.0.0.1:8080")               ; numeric; a restart changes it
(limits
  (sockets 1024)                        ; descriptors of the process
  (memory-mb 192)
  (disk-mb 64))                         ; all files in the state folder
(log (form "plain"))                    ; plain, logfmt or json

; What clients may hand in. free: may be repeated; single_shot: must never take effect twice.
(class (name "template-notice") (effect "free")
  (aim-ms 2500) (give-up-ms 24000)      ; full worth until the one, given up at the other
  (worth 1) (late-worth 0.4))
(class (name "order-payment") (effect "single_shot")
  (aim-ms 2000) (give-up-ms 16000) (worth 3) (late-worth 0.3))

(tenant (name "attiki") (rate 20))      ; messages a second of its share; 0: no bound
(tenant (name "kriti") (rate 10))

(delivery
  (slots 16)                            ; calls out at once
  (held 500)                            ; messages held at once
  (attempts 12))

(membership "list")                     ; list: the hosts below; consul: see deploy/consul.sexp
(host (id "office-1a") (address "127.0.0.1:9001") (destination 1) (rate 20))
(host (id "office-1b") (address "127.0.0.1:9002") (destination 1) (rate 20))
(host (id "bank-2") (address "127.0.0.1:9003") (destination 2) (rate 5))

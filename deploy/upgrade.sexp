; Upgrades under load: to be added to a relay's own settings. Without this section they are off.
; See docs/upgrade-operations.md.
(upgrade
  ; The new program; without this line the path that the relay was started by.
  ; (program "/usr/local/bin/fennellane")
  (start-ms 10000)  ; for the new program to look at its configuration; the old one serves meanwhile
  (state-ms 400)    ; from standing still until the new one has everything: clients wait for so long
  (taken-ms 200))   ; for its last word

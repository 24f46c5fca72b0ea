; The flight record: to be added to a relay's own settings. Without this section there is none.
; See docs/record-operations.md.
(record
  (kib 4096))                   ; size of the file; 4 MiB hold about 65,000 notes
  ; (folder "/var/log/fennellane")  ; another folder; in the state folder the file counts for disk-mb

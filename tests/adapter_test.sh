#!/bin/sh
# The adapter answers an empty batch. On malformed input it exits with status 1 and a one-line message.
set -eu
adapter=$1
reply=$(printf '\000\000\000\020\000\000\000\000\000\000\000\000\000\200\134\132' | "$adapter" | od -An -tx1 | tr -d ' \n')
[ "$reply" = 0000000800000000 ] || { echo "reply to an empty batch: $reply"; exit 1; }
rejects() {
  if message=$(printf "$1" | "$adapter" 2>&1 >/dev/null); then echo "accepted: $1"; exit 1; else code=$?; fi
  [ "$code" = 1 ] || { echo "exit status $code on: $1"; exit 1; }
  [ "$(printf '%s\n' "$message" | wc -l)" = 1 ] || { echo "more than one line of output: $message"; exit 1; }
  case $message in "starlinghook_adapter: "*) ;; *) echo "unexpected message: $message"; exit 1 ;; esac
}
rejects '\000\000'                                                              # truncated inside the length
rejects '\000\000\000\004'                                                      # shorter than a header
rejects '\000\000\000\020\000\000'                                              # truncated inside the header
rejects '\000\000\000\020\000\000\000\001\000\000\000\000\000\000\000\001'      # announces one record, has none
rejects '\377\377\377\377\000\000\000\000\000\000\000\000\000\000\000\001'      # announces 4 GiB, has none
printf '' | "$adapter"                                                          # no input: exits with status 0

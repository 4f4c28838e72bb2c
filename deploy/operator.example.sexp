; An operator's file for foxlift: everything in it is off without it. Name it by
;   foxlift serve --operator deploy/operator.example.sexp
; and try a change with `foxlift check --operator FILE` before a SIGHUP.
; The names of tenants and kinds are the platform's (examples/config.json here).
(foxlift
  ; gRPC on a Unix socket of mode 0600, for `foxlift cells ...`.
  (control (socket "/tmp/foxlift-control.sock"))

  ; The machine list is kept in this file, so that a start asks for the changes since
  ; alone (docs/operate/checkpoint.md).
  (list (checkpoint "/tmp/foxlift-list"))

  (cells
    ; Tenants that are not named below. Without it they are spread by hash.
    (default mainland)

    ; The jobs of one key go to at most this many nodes of their cell, and no more
    ; than this many of them may be open.
    (key (nodes 2) (jobs 16))

    ; What a machine of a kind can do, against the others.
    (kind large (weight 5.6))
    (kind medium (weight 2.9))
    (kind old (weight 3.0))

    ; A cell's share of the fleet's capacity; without it, as its tenants' quotas are
    ; to all. jobs and connections bound what it may hold at one scheduler; without
    ; them, its share of what the scheduler can hold.
    (cell mainland
      (share 0.75)
      (tenants central-belt)
      (when-unable refuse))
    (cell isles
      (share 0.25)
      (tenants islands)
      (jobs 40)
      (connections 40)
      ; While it has no node, or cold ones only, its jobs may take a tenth of the
      ; room of the other cell.
      (when-unable spill mainland 0.1))))

-- Property: a coordinator that was frozen and replaced changes nothing when it is resumed, also if the engines
-- ignore fencing tokens: their agents reject its older one.
require("replaced"){ranks = 2, entries = 1, ignore_fencing = true}

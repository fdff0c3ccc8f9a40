-- Property: a coordinator that was suspended and replaced changes nothing after it is resumed, even if the
-- engines ignore fencing tokens: their agents reject its older token.
require("coordinator_replaced"){ranks = 2, entries = 1, ignore_fencing = true}

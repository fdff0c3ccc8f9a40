-- Property: a coordinator that was suspended and replaced changes nothing after it is resumed: the ranks and
-- their engines reject its older fencing token.
require("coordinator_replaced"){ranks = 2, entries = 1}

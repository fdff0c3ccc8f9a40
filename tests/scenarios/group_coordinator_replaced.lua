-- Property: a coordinator that was frozen and replaced changes nothing when it is resumed: the ranks and their
-- engines reject its older fencing token.
require("replaced"){ranks = 2, entries = 1}

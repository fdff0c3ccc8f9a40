/* One switch, two coordinators; see expert_map_switch.inc.
 * Search: bit-state, because a full search has more than 62 million states.
 * Mutants (-D): NO_FENCING, GO_BEFORE_ALL_ARMED, NO_RECOVERY.
 */
#define SWITCHES 1
#define COORDINATORS 2
#include "expert_map_switch.inc"

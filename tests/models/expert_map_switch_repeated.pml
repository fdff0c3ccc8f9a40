/* Two switches, one coordinator; see expert_map_switch.inc.
 * Mutants (-D): GO_BEFORE_ALL_ARMED, PREPARE_OVER_PENDING.
 */
#define SWITCHES 2
#define COORDINATORS 1
#include "expert_map_switch.inc"

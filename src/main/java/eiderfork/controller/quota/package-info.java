/**
 * The rules for quota that teams borrow and reclaim: the usage beyond a guarantee, the preemption
 * rules between teams, the cost of a preemption, and the cooldown of reclaimed capacity. The types
 * decide only by the values that they are passed; they depend on no controller, message or clock.
 */
package eiderfork.controller.quota;

/**
 * Rules for quota that teams borrow and reclaim: what is used beyond a guarantee, who may preempt
 * whom, what a preemption costs, and how soon reclaimed capacity may be borrowed again. The types
 * decide over the values they are given and know no controller, message or clock.
 */
package eiderfork.controller.quota;

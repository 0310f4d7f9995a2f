/**
 * Autoscaling of the fleet: plans the number and kinds of machines by bin packing, rents them from
 * the cloud and returns those that are not needed. Only this package calls the cloud; an intent is
 * stored before each call that rents or returns machines.
 */
package eiderfork.controller.autoscaling;

/**
 * The size of the fleet: plans how many machines of which kind are needed, by bin packing, requests
 * them from the cloud and returns those that are not needed. Only this package calls the cloud; an
 * intent is stored before each call.
 */
package eiderfork.controller.autoscaling;
